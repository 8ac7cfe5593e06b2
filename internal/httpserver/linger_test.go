package httpserver_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"go.uber.org/zap"

	"github.com/kestrelstream/kestrelstream/internal/httpserver"
)

// TestAnswersSurviveTheClose: a client that has sent more than is answered reads
// the whole answer and an end when the connection closes gently, and meets a
// reset when it does not.
func TestAnswersSurviveTheClose(t *testing.T) {
	const request = "GET / HTTP/1.1\r\nHost: h\r\n\r\n"
	for _, gently := range []bool{true, false} {
		g := NewWithT(t)
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		g.Expect(err).NotTo(HaveOccurred())
		more := make(chan struct{})
		handler := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			<-more
			w.Header().Set("Connection", "close")
			_, _ = io.WriteString(w, "whole")
		})
		server := httpserver.New("test", listener, handler, httpserver.Limits{CloseGently: func() bool { return gently }}, zap.NewNop())
		go func() { _ = server.Serve() }()
		connection, err := net.Dial("tcp", listener.Addr().String())
		g.Expect(err).NotTo(HaveOccurred())
		_, _ = io.WriteString(connection, request)
		time.Sleep(20 * time.Millisecond) // the first one is being served
		for range 400 {
			_, _ = io.WriteString(connection, request)
		}
		close(more)
		g.Expect(endsClean(connection)).To(Equal(gently))
		_ = connection.Close()
		g.Expect(server.Stop(context.Background())).To(Succeed())
	}
}

// endsClean reports whether one whole answer and the end can be read.
func endsClean(connection net.Conn) bool {
	reader := bufio.NewReader(connection)
	response, err := http.ReadResponse(reader, nil)
	if err != nil {
		return false
	}
	content, err := io.ReadAll(response.Body)
	if err != nil || string(content) != "whole" {
		return false
	}
	_, err = reader.ReadByte()
	return err == io.EOF
}
