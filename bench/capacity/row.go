package capacity

import "runtime"

// Row is one measured figure.
type Row struct {
	// Part is the part of the measurement, Case says under which sizes.
	Part    string
	Case    string
	Measure string
	Value   float64
	Unit    string
}

// Report collects rows of one part.
type Report struct {
	part string
	emit func(Row)
}

func (r Report) add(c, measure string, value float64, unit string) {
	r.emit(Row{Part: r.part, Case: c, Measure: measure, Value: value, Unit: unit})
}

// heap returns the bytes of live objects.
func heap() uint64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

// allocated returns the bytes that were ever allocated.
func allocated() uint64 {
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.TotalAlloc
}
