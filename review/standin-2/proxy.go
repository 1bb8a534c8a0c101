package main

import (
	"io"
	"net"
	"os"
	"os/signal"
	"sync"
	"syscall"
)

// runResetProxy passes connections on to an address, and on SIGUSR1 resets all that are open, towards both sides.
func runResetProxy(addr, target string) {
	var mu sync.Mutex
	open := map[*net.TCPConn]bool{}
	reset := make(chan os.Signal, 1)
	signal.Notify(reset, syscall.SIGUSR1)
	go func() {
		for range reset {
			mu.Lock()
			record("proxy", "resets", "all", "connections")
			for c := range open {
				c.SetLinger(0) // a close is then a reset
				c.Close()
			}
			mu.Unlock()
		}
	}()
	l := listen(addr)
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		go func() {
			to, err := net.Dial("tcp", target)
			if err != nil {
				c.Close()
				return
			}
			both := []*net.TCPConn{c.(*net.TCPConn), to.(*net.TCPConn)}
			mu.Lock()
			for _, side := range both {
				open[side] = true
			}
			mu.Unlock()
			var g sync.WaitGroup
			for k := range both {
				g.Add(1)
				go func() {
					defer g.Done()
					io.Copy(both[1-k], both[k])
					both[1-k].CloseWrite()
				}()
			}
			g.Wait()
			mu.Lock()
			for _, side := range both {
				side.Close()
				delete(open, side)
			}
			mu.Unlock()
		}()
	}
}
