package process

import (
	"net"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/gofiber/fiber/v3"
)

const operatorTimeout = 5 * time.Second

// OperatorCallbacks is what the operators' listener shows of a process.
type OperatorCallbacks struct {
	ready func() bool
	dump  func() string
}

// NewOperatorCallbacks returns a view: ready says whether new work is taken, dump returns
// the state in YAML.
func NewOperatorCallbacks(ready func() bool, dump func() string) OperatorCallbacks {
	return OperatorCallbacks{ready: ready, dump: dump}
}

// OperatorServer serves /metrics, /healthz, /readyz and /dump.
type OperatorServer struct {
	app *fiber.App
}

// NewOperatorServer starts to serve operators on a listener.
func NewOperatorServer(l net.Listener, set *metrics.Set, v OperatorCallbacks) *OperatorServer {
	app := fiber.New(fiber.Config{ReadTimeout: operatorTimeout, WriteTimeout: operatorTimeout, IdleTimeout: operatorTimeout})
	app.Get("/metrics", func(c fiber.Ctx) error {
		set.WritePrometheus(c.Response().BodyWriter())
		metrics.WriteProcessMetrics(c.Response().BodyWriter())
		return nil
	})
	app.Get("/healthz", func(c fiber.Ctx) error { return c.SendString("ok\n") })
	app.Get("/readyz", func(c fiber.Ctx) error {
		if !v.ready() {
			return c.Status(fiber.StatusServiceUnavailable).SendString("not ready\n")
		}
		return c.SendString("ready\n")
	})
	app.Get("/dump", func(c fiber.Ctx) error {
		c.Set(fiber.HeaderContentType, "application/yaml")
		return c.SendString(v.dump())
	})
	go func() {
		_ = app.Listener(l, fiber.ListenConfig{DisableStartupMessage: true})
	}()
	return &OperatorServer{app: app}
}

// Close stops serving.
func (o *OperatorServer) Close() { _ = o.app.ShutdownWithTimeout(time.Second) }
