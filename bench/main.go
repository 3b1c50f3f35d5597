// Command bench is not built yet.
package main

func main() {}
