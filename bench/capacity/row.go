package capacity

import "runtime"

// Row is one measured figure.
type Row struct {
	// Part is the name of the part that measured the figure, and Case the sizes
	// and rates under which it was measured.
	Part    string
	Case    string
	Measure string
	Value   float64
	Unit    string
}

// Report emits the rows of one part.
type Report struct {
	part string
	emit func(Row)
}

func (r Report) add(c, measure string, value float64, unit string) {
	r.emit(Row{Part: r.part, Case: c, Measure: measure, Value: value, Unit: unit})
}

// heap returns the bytes of live heap objects.
func heap() uint64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

// allocated returns the total bytes allocated since the process started.
func allocated() uint64 {
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.TotalAlloc
}
