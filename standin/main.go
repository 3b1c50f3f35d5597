// Command standin is not built yet.
package main

func main() {}
