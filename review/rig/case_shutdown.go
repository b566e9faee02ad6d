package main

import (
	"fmt"
	"time"
)

func shutdown(c *Cell, trouble bool) (found broken, err error) {
	_ = time.Now
	return nil, fmt.Errorf("todo")
}
