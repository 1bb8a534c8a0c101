package main

// talking makes the instance a member of its fleet.
func talking(*instance) (part, error) { return part{}, nil }
