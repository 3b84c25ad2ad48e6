package cli

import (
	"context"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	"github.com/pulleyring/pulleyring/internal/ingress"
	"github.com/pulleyring/pulleyring/internal/logsink"
	"github.com/pulleyring/pulleyring/internal/measure"
	"github.com/pulleyring/pulleyring/internal/node"
	"github.com/pulleyring/pulleyring/internal/relay"
	"github.com/pulleyring/pulleyring/internal/scheduler"
	"github.com/pulleyring/pulleyring/internal/store"
	"github.com/pulleyring/pulleyring/platform"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

// runOnPlatform runs a box with the settings file that the platform names, until SIGTERM or an interrupt.
func runOnPlatform(e *env, file string) int {
	s, err := loadPlatform(file)
	if err != nil {
		return e.fail(exitUsage, err)
	}
	sink := logsink.New(e.out)
	defer sink.Close()
	log := platformLog(sink, s.Box)
	debug.SetMemoryLimit(ingress.RuntimeLimit(s.Means.MemoryMB))
	n := node.New(s, platformParts(s, log), log)
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	go reloadOnHangup(n, file, log)
	if err := n.Run(ctx); err != nil {
		return e.fail(exitFailure, err)
	}
	return exitSuccess
}

func loadPlatform(file string) (*node.Settings, error) {
	raw, err := os.ReadFile(file)
	if err != nil {
		return nil, err
	}
	return platform.ParseSettings(file, raw)
}

// platformParts returns the platform's adapters. Each client has its own connections, so that a call never waits behind
// a long-running feed.
func platformParts(s *node.Settings, log *zap.Logger) node.Platform {
	return node.Platform{
		Store:          &platform.Store{Address: s.Store, Client: platform.NewClient()},
		Network:        &relay.HTTP{Client: platform.NewClient()},
		Configurations: func(st store.Store) node.Configurations { return &platform.Configurations{Store: st} },
		Directory: func(st store.Store, f *measure.Metrics) scheduler.Directory {
			return &platform.Directory{Store: st, Log: log, Metrics: f}
		},
		Commands:  &platform.Workers{Client: platform.NewWorkerClient(platform.IdleConnections(s.Means.Descriptors))},
		Front:     platform.Front,
		Readiness: platform.Readiness,
	}
}

// reloadOnHangup reloads the settings at each SIGHUP. If the file is invalid, the settings in force are kept.
func reloadOnHangup(n *node.Node, file string, log *zap.Logger) {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGHUP)
	for range signals {
		s, err := loadPlatform(file)
		if err != nil {
			log.Error("cli: unable to reload the settings; keeping the settings in force", logsink.Error(err))
			continue
		}
		n.Reload(s)
	}
}

// platformLog returns a logger that writes JSON lines with the name of the box.
func platformLog(sink *logsink.Sink, box string) *zap.Logger {
	c := zap.NewProductionEncoderConfig()
	c.TimeKey, c.EncodeTime = "time", zapcore.RFC3339NanoTimeEncoder
	c.EncodeDuration = zapcore.StringDurationEncoder
	core := zapcore.NewCore(zapcore.NewJSONEncoder(c), sink, zap.InfoLevel)
	return zap.New(core).With(zap.String("box", box))
}
