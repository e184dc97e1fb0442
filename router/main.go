// Command router is part of cicadawell.
package main

func main() {}
