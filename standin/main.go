// Command standin is part of cicadawell.
package main

func main() {}
