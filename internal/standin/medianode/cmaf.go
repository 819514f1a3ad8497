package medianode

import "encoding/binary"

// The few boxes of ISO/IEC 14496-12 and CMAF (ISO/IEC 23000-19) that a player's parser needs: an
// initialization segment with one AVC track, and media segments of one fragment each. The samples are in card.go.

func mp4(kind string, parts ...[]byte) []byte {
	n := 8
	for _, p := range parts {
		n += len(p)
	}
	b := make([]byte, 0, n)
	b = binary.BigEndian.AppendUint32(b, uint32(n))
	b = append(b, kind...)
	for _, p := range parts {
		b = append(b, p...)
	}
	return b
}

// full is a FullBox: version and flags before the content.
func full(kind string, version byte, flags uint32, parts ...[]byte) []byte {
	head := binary.BigEndian.AppendUint32(nil, uint32(version)<<24|flags)
	return mp4(kind, append([][]byte{head}, parts...)...)
}

func u32(vs ...uint32) []byte {
	var b []byte
	for _, v := range vs {
		b = binary.BigEndian.AppendUint32(b, v)
	}
	return b
}

func u16(vs ...uint16) []byte {
	var b []byte
	for _, v := range vs {
		b = binary.BigEndian.AppendUint16(b, v)
	}
	return b
}

var matrix = u32(0x10000, 0, 0, 0, 0x10000, 0, 0, 0, 0x40000000)

// initSegment is ftyp and moov with timescale 1000.
func initSegment(width, height uint16) []byte {
	seq, pic := sps(int(width), int(height)), pps()
	avcC := mp4("avcC", []byte{1, avcProfile, avcCompat, avcLevel, 0xff, 0xe1}, u16(uint16(len(seq))), seq,
		[]byte{1}, u16(uint16(len(pic))), pic)
	avc1 := mp4("avc1", make([]byte, 6), u16(1), make([]byte, 16), u16(width, height),
		u32(0x480000, 0x480000, 0), u16(1), make([]byte, 32), u16(0x18, 0xffff), avcC)
	stbl := mp4("stbl", full("stsd", 0, 0, u32(1), avc1), full("stts", 0, 0, u32(0)), full("stsc", 0, 0, u32(0)),
		full("stsz", 0, 0, u32(0, 0)), full("stco", 0, 0, u32(0)))
	dinf := mp4("dinf", full("dref", 0, 0, u32(1), full("url ", 0, 1)))
	minf := mp4("minf", full("vmhd", 0, 1, make([]byte, 8)), dinf, stbl)
	mdia := mp4("mdia", full("mdhd", 0, 0, u32(0, 0, 1000, 0), u16(0x55c4, 0)),
		full("hdlr", 0, 0, u32(0), []byte("vide"), make([]byte, 12), []byte("headmill\x00")), minf)
	tkhd := full("tkhd", 0, 3, u32(0, 0, 1, 0, 0, 0, 0), u16(0, 0, 0, 0), matrix, u32(uint32(width)<<16, uint32(height)<<16))
	mvhd := full("mvhd", 0, 0, u32(0, 0, 1000, 0, 0x10000), u16(0x100, 0), u32(0, 0), matrix, make([]byte, 24), u32(2))
	moov := mp4("moov", mvhd, mp4("trak", tkhd, mdia), mp4("mvex", full("trex", 0, 0, u32(1, 1, 0, 0, 0))))
	return append(mp4("ftyp", []byte("cmf2"), u32(0), []byte("isomiso6cmfcavc1")), moov...)
}

// mediaSegment is styp, moof and mdat; size is the number of bytes in all, as far as its pictures are not more.
func mediaSegment(number, beginMs, durationMs, size, width, height, rung int) []byte {
	count := max(durationMs*cardFPS/1000, 1)
	styp := mp4("styp", []byte("msdh"), u32(0), []byte("msdhcmfs"))
	moof := func(dataOffset uint32, list [][]byte) []byte {
		tfdt := full("tfdt", 1, 0, binary.BigEndian.AppendUint64(nil, uint64(beginMs)))
		tfhd := full("tfhd", 0, 0x20028, u32(1, uint32(durationMs/count), 0x01010000)) // duration and flags of all but the first
		run := u32(uint32(count), dataOffset, 0x02000000)
		for i := range count {
			n := 0
			if list != nil {
				n = len(list[i])
			}
			run = append(run, u32(uint32(n))...)
		}
		return mp4("moof", full("mfhd", 0, 0, u32(uint32(number))), mp4("traf", tfhd, tfdt, full("trun", 0, 0x205, run)))
	}
	head := len(moof(0, nil))
	list := samples(width, height, rung, number, count, size-len(styp)-head-8)
	b := append(styp, moof(uint32(head+8), list)...)
	return append(b, mp4("mdat", list...)...)
}
