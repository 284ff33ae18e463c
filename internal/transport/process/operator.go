package process

import (
	"net"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/gofiber/fiber/v3"
)

const operatorTimeout = 5 * time.Second

// View is what the operators' listener shows of a process.
type View struct {
	ready func() bool
	dump  func() string
}

// NewView returns a view: ready says whether new work is taken, dump returns
// the state in YAML.
func NewView(ready func() bool, dump func() string) View {
	return View{ready: ready, dump: dump}
}

// Operator serves /metrics, /healthz, /readyz and /dump.
type Operator struct {
	app *fiber.App
}

// NewOperator starts to serve operators on a listener.
func NewOperator(l net.Listener, set *metrics.Set, v View) *Operator {
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
	return &Operator{app: app}
}

// Close stops serving.
func (o *Operator) Close() { _ = o.app.ShutdownWithTimeout(time.Second) }
