package node

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"time"

	"persimmoncross"
	"persimmoncross/core/coordination/upgrade"
	"persimmoncross/core/state/register"
	"persimmoncross/io/transport/inbound"
)

// errLaterOrder is returned for an order that had to be given up because others were accepted meanwhile.
var errLaterOrder = errors.New("another order was accepted meanwhile")

// errOperatorLeft is returned for an order whose operator has closed the connection, and may have sent
// it to another controller.
var errOperatorLeft = errors.New("the operator has left")

// proposeOrder proposes an operator's order. An order may reach the leader long after this controller
// has given it up, since its bytes wait on a link, in a queue or in a suspended process. The order
// therefore names the last one that this controller knew while the operator still waited: if another
// was accepted since, it changes nothing, and is proposed again only while the operator still waits.
func (c *Controller) proposeOrder(ctx context.Context, command register.Command) error {
	ctx, cancel := context.WithTimeout(ctx, proposalTimeout)
	defer cancel()
	deadline := c.Clock.Now().Add(proposalTimeout)
	for after := c.register.Current().LastOrder; ; {
		// A process that was suspended goes on before its timers expire.
		if ctx.Err() != nil || inbound.ClientLeft(ctx) {
			return newError("order", Unavailable, errOperatorLeft)
		}
		if !c.Clock.Now().Before(deadline) {
			return newError("order", Unavailable, errLaterOrder)
		}
		command.After = &after
		result, err := c.propose(ctx, command)
		if err != nil {
			return err
		}
		last, later := register.LaterOrder(result)
		if !later {
			return nil
		}
		c.incrementCounter("order.again")
		after = last
	}
}

// BeginUpgrade proposes the start of an upgrade. One to the version that the service runs already is
// shifted at once, since no other version could serve the requests meanwhile.
func (c *Controller) BeginUpgrade(ctx context.Context, service, target string, duration time.Duration) error {
	err := c.proposeOrder(ctx, register.Command{
		Begin: &register.Upgrade{
			Service:  service,
			Target:   target,
			Duration: duration,
			Began:    c.Clock.Now().UnixMilli(),
		},
	})
	list, _ := c.publisher.upstreams()
	if err != nil || !runsOnly(list, service, target) {
		return err
	}
	s, err := c.ReadState(ctx)
	if err != nil {
		return err
	}
	u, ok := s.Upgrades[service]
	if !ok || u.Target != target || u.Stage != register.Prepare {
		return nil // another order came in between, or it is no new one
	}
	return c.advanceToRunningVersion(ctx, u, upgrade.RunningVersionStage(u, 0))
}

// Evacuate proposes to send no more requests to the upstreams of a data centre, or to end that
// evacuation. It returns nil once a quorum has stored the command, and an [Error] of kind
// [NotFound] for an unknown data centre.
func (c *Controller) Evacuate(ctx context.Context, dataCentre string, end bool) error {
	known, certain := c.lookUpDataCentre(dataCentre)
	switch {
	case !known && !certain:
		return newError("evacuate", Unavailable, errListNotRead)
	case !known:
		return newError("evacuate", NotFound, fmt.Errorf("there is no data centre %q", dataCentre))
	}
	err := c.proposeOrder(ctx, register.Command{
		Evacuate: &register.Evacuate{
			DataCentre: dataCentre,
			End:        end,
		},
	})
	c.Log.Info().Err(err).Str("datacentre", dataCentre).Bool("end", end).Msg("evacuation proposed")
	return err
}

// errListNotRead is returned for an unknown data centre while the list of upstreams has not
// been read, because the data centre may have upstreams on that list.
var errListNotRead = errors.New("the list of upstreams was not read yet")

// lookUpDataCentre reports whether a data centre is in the settings, has upstreams, or is
// evacuated. A negative result is certain only once the list of upstreams has been read.
func (c *Controller) lookUpDataCentre(dataCentre string) (known, certain bool) {
	if _, ok := c.Site.Regions[dataCentre]; ok || dataCentre == c.Site.DataCentre {
		return true, true
	}
	if _, ok := c.register.Current().Evacuations[dataCentre]; ok {
		return true, true
	}
	list, readAt := c.publisher.upstreams()
	known = slices.ContainsFunc(list, func(u persimmoncross.Upstream) bool { return u.DataCentre == dataCentre })
	return known, !readAt.IsZero()
}
