package medianode

import (
	"encoding/binary"
	"strings"
	"testing"
)

// walk reads boxes as an ordinary parser does: every size must lead exactly to the next box.
func walk(t *testing.T, b []byte, path string, seen map[string]int) {
	t.Helper()
	for len(b) > 0 {
		if len(b) < 8 {
			t.Fatalf("%s: %d stray bytes", path, len(b))
		}
		n, kind := int(binary.BigEndian.Uint32(b)), string(b[4:8])
		if n < 8 || n > len(b) {
			t.Fatalf("%s/%s: size %d of %d", path, kind, n, len(b))
		}
		seen[kind] = n
		switch kind {
		case "moov", "trak", "mdia", "minf", "dinf", "stbl", "mvex", "moof", "traf":
			walk(t, b[8:n], path+"/"+kind, seen)
		}
		b = b[n:]
	}
}

func TestSegmentsParse(t *testing.T) {
	seen := map[string]int{}
	walk(t, initSegment(640, 360), "init", seen)
	for _, k := range strings.Fields("ftyp moov mvhd trak tkhd mdia mdhd hdlr minf vmhd dinf dref stbl stsd stts stsc stsz stco mvex trex") {
		if seen[k] == 0 {
			t.Errorf("the init segment has no %s", k)
		}
	}
	for _, c := range []struct{ size, width, height, rung, ms int }{{4200, 320, 180, 0, 1000}, {9800, 640, 360, 1, 1000},
		{56000, 1280, 720, 3, 2000}, {100, 320, 180, 0, 1000}} { // the last is less than its pictures take
		seg := mediaSegment(3, 2*c.ms, c.ms, c.size, c.width, c.height, c.rung)
		if c.size > 100 && len(seg) != c.size {
			t.Errorf("a segment of %d bytes has %d", c.size, len(seg))
		}
		seen = map[string]int{}
		walk(t, seg, "media", seen)
		i := strings.Index(string(seg), "trun") + 4
		count, offset := int(binary.BigEndian.Uint32(seg[i+4:])), int(binary.BigEndian.Uint32(seg[i+8:]))
		if moof := strings.Index(string(seg), "moof") - 4; count != c.ms/100 || moof+offset != len(seg)-seen["mdat"]+8 {
			t.Fatalf("trun: %d samples, offset %d; mdat %d of %d", count, offset, seen["mdat"], len(seg))
		}
		at := len(seg) - seen["mdat"] + 8
		for k := range count { // each sample is whole NAL units: a picture, and filler
			end, kinds := at+int(binary.BigEndian.Uint32(seg[i+16+4*k:])), []byte{}
			for at+4 < end {
				n := int(binary.BigEndian.Uint32(seg[at:]))
				unit := seg[at+4 : at+4+n]
				kinds = append(kinds, unit[0]&31)
				if strings.Contains(string(unit), "\x00\x00\x01") || strings.Contains(string(unit), "\x00\x00\x00") {
					t.Errorf("sample %d has a start code within", k)
				}
				at += 4 + n
			}
			if want := map[bool]byte{true: 5, false: 1}[k == 0]; at != end || kinds[0] != want || len(kinds) == 2 && kinds[1] != 12 {
				t.Fatalf("sample %d: units %v, ends at %d of %d", k, kinds, at, end)
			}
		}
		j := strings.Index(string(seg), "tfdt") + 8
		if begins := binary.BigEndian.Uint64(seg[j:]); at != len(seg) || begins != uint64(2*c.ms) {
			t.Errorf("segment 3 begins at %d ms and has %d stray bytes", begins, len(seg)-at)
		}
	}
}

// The picture's size in the parameter set, read back bit by bit.
func TestParameterSet(t *testing.T) {
	for _, size := range [][2]int{{320, 180}, {640, 360}, {1280, 720}, {64, 64}} {
		b, pos := sps(size[0], size[1]), 32
		bit := func() (v int) { v = int(b[pos/8]>>(7-pos%8)) & 1; pos++; return v }
		ue := func() int {
			n, v := 0, 1
			for bit() == 0 {
				n++
			}
			for range n {
				v = v<<1 | bit()
			}
			return v - 1
		}
		for range 4 {
			ue()
		}
		bit()
		w, h := 16*(ue()+1), 16*(ue()+1)
		bit()
		bit()
		if bit() == 1 {
			ue()
			w -= 2 * ue()
			ue()
			h -= 2 * ue()
		}
		if w != size[0] || h != size[1] || b[1] != avcProfile || b[3] != avcLevel {
			t.Errorf("%v is read as %d by %d, % x", size, w, h, b[:4])
		}
	}
}

// A change of rung is seen: the cards of two rungs differ, and so do those of two segments.
func TestCards(t *testing.T) {
	a := card(20, 12, 0, 1)
	for _, other := range [][]color{card(20, 12, 1, 1), card(20, 12, 0, 2)} {
		same := 0
		for i := range a {
			if a[i] == other[i] {
				same++
			}
		}
		if same == len(a) {
			t.Error("two cards are the same")
		}
	}
}
