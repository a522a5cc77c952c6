package encoder_test

import (
	"fmt"
	"reflect"
	"testing"

	"fescuebank"
	"fescuebank/internal/fleet/assigner"
	"fescuebank/internal/fleet/encoder"
)

// newAssignment returns an assignment for a number of instances in 9 zones.
func newAssignment(instances int) *fescuebank.Assignment {
	leases := make(map[fescuebank.InstanceID]fescuebank.Lease, instances)
	for i := range instances {
		id := fescuebank.InstanceID(fmt.Sprintf("entry-%03d", i))
		leases[id] = fescuebank.Lease{
			Holder: fescuebank.Instance{
				ID: id, Zone: fescuebank.Zone(fmt.Sprint("zone-", i%9)), Weight: 1,
				CallerURL: fmt.Sprintf("http://10.0.%d.%d:8080", i/250, i%250), PeerAddr: fmt.Sprintf("10.0.%d.%d:9000", i/250, i%250),
			},
			Incarnation: fescuebank.Incarnation(fescuebank.NewRandomID("")),
		}
	}
	a, _ := assigner.New(4).Rewrite(&fescuebank.Assignment{}, assigner.FleetState{Leases: leases})
	return a
}

func TestDecodeReturnsTheEncodedAssignment(t *testing.T) {
	want := newAssignment(20)
	e := encoder.New()
	value, err := e.Encode(want)
	if err != nil {
		t.Fatal(err)
	}
	got, err := e.Decode(value)
	if err != nil || !reflect.DeepEqual(got, want) {
		t.Errorf("got %v, %v, want the same assignment", got, err)
	}
}

func TestLargeFleetFitsTheStore(t *testing.T) {
	value, err := encoder.New().Encode(newAssignment(2000))
	if err != nil {
		t.Fatal(err)
	}
	if got := fescuebank.Bytes(len(value)); got > fescuebank.MaxValue {
		t.Errorf("got %d bytes, want at most %d", got, fescuebank.MaxValue)
	}
}

// FuzzDecode decodes arbitrary store values.
func FuzzDecode(f *testing.F) {
	e := encoder.New()
	value, _ := e.Encode(newAssignment(2))
	f.Add(value)
	f.Add([]byte("x"))
	f.Fuzz(func(t *testing.T, value []byte) {
		if a, err := e.Decode(value); (a == nil) != (err != nil) {
			t.Errorf("got %v and %v, want one of them", a, err)
		}
	})
}

func BenchmarkDecode(b *testing.B) {
	for _, instances := range []int{8, 100, 400} {
		b.Run(fmt.Sprint(instances, " instances"), func(b *testing.B) {
			e := encoder.New()
			value, _ := e.Encode(newAssignment(instances))
			for b.Loop() {
				_, _ = e.Decode(value)
			}
			b.ReportMetric(float64(len(value)), "stored-bytes")
		})
	}
}
