// Command daisyctl is not built yet.
package main

func main() {}
