// Command router is one entry instance of cicadawell.
package main

func main() {}
