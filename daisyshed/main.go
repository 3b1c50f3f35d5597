// Command daisyshed is not built yet.
package main

func main() {}
