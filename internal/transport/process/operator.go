package process

import (
	"net"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/gofiber/fiber/v3"
)

// operatorTimeout is the read, write and idle timeout of operators' connections.
const operatorTimeout = 5 * time.Second

// operatorBodyBytes bounds the bodies of operators' requests, which need none. The server
// keeps a body in memory.
const operatorBodyBytes = 4 << 10

// OperatorCallbacks are the functions from which an OperatorServer reads the state of
// a process. They must be safe for concurrent use.
type OperatorCallbacks struct {
	ready func() bool
	dump  func() string
}

// NewOperatorCallbacks returns callbacks in which ready reports whether the process
// accepts new work, and dump returns its state as YAML.
func NewOperatorCallbacks(ready func() bool, dump func() string) OperatorCallbacks {
	return OperatorCallbacks{ready: ready, dump: dump}
}

// OperatorServer serves /metrics, /healthz, /readyz and /dump over HTTP.
type OperatorServer struct {
	app *fiber.App
}

// NewOperatorServer starts a server on a listener. /metrics contains the given set
// and the metrics of the Go process.
func NewOperatorServer(l net.Listener, set *metrics.Set, callbacks OperatorCallbacks) *OperatorServer {
	app := fiber.New(fiber.Config{ReadTimeout: operatorTimeout, WriteTimeout: operatorTimeout, IdleTimeout: operatorTimeout, BodyLimit: operatorBodyBytes})
	app.Get("/metrics", func(c fiber.Ctx) error {
		set.WritePrometheus(c.Response().BodyWriter())
		metrics.WriteProcessMetrics(c.Response().BodyWriter())
		return nil
	})
	app.Get("/healthz", func(c fiber.Ctx) error { return c.SendString("ok\n") })
	app.Get("/readyz", func(c fiber.Ctx) error {
		if !callbacks.ready() {
			return c.Status(fiber.StatusServiceUnavailable).SendString("not ready\n")
		}
		return c.SendString("ready\n")
	})
	app.Get("/dump", func(c fiber.Ctx) error {
		c.Set(fiber.HeaderContentType, "application/yaml")
		return c.SendString(callbacks.dump())
	})
	go func() {
		_ = app.Listener(l, fiber.ListenConfig{DisableStartupMessage: true})
	}()
	return &OperatorServer{app: app}
}

// Close stops the server. It waits up to one second for open requests.
func (o *OperatorServer) Close() { _ = o.app.ShutdownWithTimeout(time.Second) }
