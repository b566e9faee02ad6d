package peer

import (
	"context"
	"encoding/binary"

	"github.com/fxamacker/cbor/v2"
	"storj.io/drpc"
	"storj.io/drpc/drpcctx"
)

const (
	// itemBytes is the memory that one data item of a message takes decoded, at most: the largest
	// element of a list in a message between hosts is an order of a carrier with 96 bytes.
	itemBytes = 160
	// freeItems is the number of items up to which decoding needs no reservation. A message of
	// a healthy cell, such as a heartbeat, has fewer.
	freeItems = 256
)

// CountItems returns the number of data items of CBOR data, nested ones included, or a number
// that is too large if the data is not well-formed.
func CountItems(data []byte) (items int64) {
	const shortBytes, byteString, textString, indefinite = 24, 2, 3, 31
	for len(data) > 0 {
		items++
		major, info := data[0]>>5, data[0]&0x1f
		data = data[1:]
		length := uint64(info)
		if info >= shortBytes && info < shortBytes+4 {
			n := 1 << (info - shortBytes)
			if len(data) < n {
				return items
			}
			var wide [8]byte
			copy(wide[8-n:], data)
			length, data = binary.BigEndian.Uint64(wide[:]), data[n:]
		}
		if (major == byteString || major == textString) && info != indefinite {
			if length > uint64(len(data)) {
				return items
			}
			data = data[length:]
		}
	}
	return items
}

// limitedEncoding decodes messages whose decoded size is reserved at the connection.
type limitedEncoding struct {
	encoding
	reserve func(bytes int64) error
}

// Unmarshal implements drpc.Encoding.
func (e limitedEncoding) Unmarshal(buf []byte, msg drpc.Message) error {
	if items := CountItems(buf); items > freeItems {
		if err := e.reserve(items * itemBytes); err != nil {
			return Error.Wrap(err)
		}
	}
	return cbor.Unmarshal(buf, msg)
}

// receive receives a message on the side of the server. What it takes decoded is reserved at the
// connection, if that is limited, until release is called.
func receive(ctx context.Context, stream drpc.Stream, msg any) (release func(), err error) {
	transport, _ := drpcctx.Transport(ctx)
	conn, limited := transport.(*limitConn)
	if !limited {
		return func() {}, stream.MsgRecv(msg, encoding{})
	}
	var reserved int64
	err = stream.MsgRecv(msg, limitedEncoding{reserve: func(bytes int64) error {
		if err := conn.entry.ReserveWhole(bytes); err != nil {
			return err
		}
		reserved = bytes
		return nil
	}})
	return func() { conn.entry.Release(reserved) }, err
}
