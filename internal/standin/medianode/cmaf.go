package medianode

import "encoding/binary"

// This file writes the few boxes of ISO/IEC 14496-12 and CMAF (ISO/IEC 23000-19) that a player's parser needs: an
// initialization segment with one AVC track, and media segments of one fragment each. The samples come from
// testcard.go.

// mp4Box returns a Box: size, type and content.
func mp4Box(kind string, parts ...[]byte) []byte {
	size := 8
	for _, part := range parts {
		size += len(part)
	}
	box := make([]byte, 0, size)
	box = binary.BigEndian.AppendUint32(box, uint32(size))
	box = append(box, kind...)
	for _, part := range parts {
		box = append(box, part...)
	}
	return box
}

// fullBox returns a FullBox: a Box with version and flags before the content.
func fullBox(kind string, version byte, flags uint32, parts ...[]byte) []byte {
	header := binary.BigEndian.AppendUint32(nil, uint32(version)<<24|flags)
	return mp4Box(kind, append([][]byte{header}, parts...)...)
}

// uint32Bytes returns the values in big-endian order.
func uint32Bytes(values ...uint32) []byte {
	var out []byte
	for _, value := range values {
		out = binary.BigEndian.AppendUint32(out, value)
	}
	return out
}

// uint16Bytes returns the values in big-endian order.
func uint16Bytes(values ...uint16) []byte {
	var out []byte
	for _, value := range values {
		out = binary.BigEndian.AppendUint16(out, value)
	}
	return out
}

// unityMatrix is the transformation matrix that leaves the picture as it is, as in mvhd and tkhd.
var unityMatrix = uint32Bytes(0x10000, 0, 0, 0, 0x10000, 0, 0, 0, 0x40000000)

// initSegment returns an initialization segment (ftyp and moov) with a timescale of 1000.
func initSegment(width, height uint16) []byte {
	sps, pps := sequenceParameterSet(int(width), int(height)), pictureParameterSet()
	avcC := mp4Box("avcC", []byte{1, avcProfile, avcConstraintFlags, avcLevel, 0xff, 0xe1},
		uint16Bytes(uint16(len(sps))), sps, []byte{1}, uint16Bytes(uint16(len(pps))), pps)
	// 0x480000 is 72 dpi as a 16.16 fixed-point number, 0x18 a depth of 24 bits and 0xffff the predefined value -1.
	avc1 := mp4Box("avc1", make([]byte, 6), uint16Bytes(1), make([]byte, 16), uint16Bytes(width, height),
		uint32Bytes(0x480000, 0x480000, 0), uint16Bytes(1), make([]byte, 32), uint16Bytes(0x18, 0xffff), avcC)
	stbl := mp4Box("stbl", fullBox("stsd", 0, 0, uint32Bytes(1), avc1), fullBox("stts", 0, 0, uint32Bytes(0)),
		fullBox("stsc", 0, 0, uint32Bytes(0)), fullBox("stsz", 0, 0, uint32Bytes(0, 0)), fullBox("stco", 0, 0, uint32Bytes(0)))
	dinf := mp4Box("dinf", fullBox("dref", 0, 0, uint32Bytes(1), fullBox("url ", 0, 1)))
	minf := mp4Box("minf", fullBox("vmhd", 0, 1, make([]byte, 8)), dinf, stbl)
	// 0x55c4 is the language code "und" (undetermined).
	mdia := mp4Box("mdia", fullBox("mdhd", 0, 0, uint32Bytes(0, 0, 1000, 0), uint16Bytes(0x55c4, 0)),
		fullBox("hdlr", 0, 0, uint32Bytes(0), []byte("vide"), make([]byte, 12), []byte("headmill\x00")), minf)
	tkhd := fullBox("tkhd", 0, 3, uint32Bytes(0, 0, 1, 0, 0, 0, 0), uint16Bytes(0, 0, 0, 0), unityMatrix,
		uint32Bytes(uint32(width)<<16, uint32(height)<<16))
	mvhd := fullBox("mvhd", 0, 0, uint32Bytes(0, 0, 1000, 0, 0x10000), uint16Bytes(0x100, 0), uint32Bytes(0, 0),
		unityMatrix, make([]byte, 24), uint32Bytes(2))
	moov := mp4Box("moov", mvhd, mp4Box("trak", tkhd, mdia),
		mp4Box("mvex", fullBox("trex", 0, 0, uint32Bytes(1, 1, 0, 0, 0))))
	return append(mp4Box("ftyp", []byte("cmf2"), uint32Bytes(0), []byte("isomiso6cmfcavc1")), moov...)
}

// mediaSegment returns a media segment (styp, moof and mdat) of size bytes in total, or more if its pictures need more.
func mediaSegment(number, beginMs, durationMs, size, width, height, rung int) []byte {
	count := max(durationMs*framesPerSecond/1000, 1)
	styp := mp4Box("styp", []byte("msdh"), uint32Bytes(0), []byte("msdhcmfs"))
	moof := func(dataOffset uint32, samples [][]byte) []byte {
		tfdt := fullBox("tfdt", 1, 0, binary.BigEndian.AppendUint64(nil, uint64(beginMs)))
		// tfhd (flags 0x20028) has the duration of all samples, and the flags of all but the first: 0x01010000, which
		// depend on others and are not sync samples. trun (flags 0x205) has the data offset, the flags of the first
		// sample (0x02000000: depends on no other) and the size of each sample.
		tfhd := fullBox("tfhd", 0, 0x20028, uint32Bytes(1, uint32(durationMs/count), 0x01010000))
		trun := uint32Bytes(uint32(count), dataOffset, 0x02000000)
		for i := range count {
			size := 0
			if samples != nil {
				size = len(samples[i])
			}
			trun = append(trun, uint32Bytes(uint32(size))...)
		}
		return mp4Box("moof", fullBox("mfhd", 0, 0, uint32Bytes(uint32(number))),
			mp4Box("traf", tfhd, tfdt, fullBox("trun", 0, 0x205, trun)))
	}
	moofSize := len(moof(0, nil))
	samples := segmentSamples(width, height, rung, number, count, size-len(styp)-moofSize-8)
	segment := append(styp, moof(uint32(moofSize+8), samples)...)
	return append(segment, mp4Box("mdat", samples...)...)
}
