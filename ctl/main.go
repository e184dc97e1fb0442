// Command ctl is part of cicadawell.
package main

func main() {}
