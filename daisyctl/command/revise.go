package command

import (
	"crypto/rand"
	"strings"

	"daisyshed.dev/core"
	"daisyshed.dev/daisyctl/configlog"
	"daisyshed.dev/wire/profile"
)

// reviseCommand changes fields of a profile or pool in force.
type reviseCommand struct {
	app    *app
	kind   configlog.Kind
	Set    []string `long:"set" value-name:"FIELD=VALUE" required:"yes" description:"field and its YAML value, such as Withdrawn=[pool-a]; may be given several times"`
	NoWait bool     `long:"no-wait" description:"do not wait until the publication is in force"`
	Args   struct {
		Name string `positional-arg-name:"NAME"`
	} `positional-args:"yes" required:"yes"`
}

// Execute implements flags.Commander.
func (c *reviseCommand) Execute([]string) error {
	ctx, cancel := c.app.withTimeout()
	defer cancel()
	log, err := c.app.openLog(ctx)
	if err != nil {
		return err
	}
	settings, err := c.app.readSettings()
	if err != nil {
		return err
	}
	current := log.Current(configlog.Subject{Kind: c.kind, Name: c.Args.Name})
	if current == nil {
		return &NotFoundError{What: kindName(c.kind), Name: c.Args.Name}
	}
	revised, err := revise(current, c.Set, log.PoolsByID())
	if err != nil {
		return err
	}
	p := publishOperation{app: c.app, log: log, noWait: c.NoWait}
	return p.run(ctx, []core.Record{withNewIDAndOperator(revised, settings.Operator)})
}

// revise returns a publication of current with fields set. It returns an error if
// the result is invalid.
func revise(current core.Record, sets []string, pools map[core.PoolID]core.Pool) (core.Record, error) {
	switch r := current.(type) {
	case core.ProfilePublished:
		p, err := setFields(r.Profile, sets, profile.SetField)
		if err != nil {
			return nil, err
		}
		faults := appendFaults(profile.Validate(p), profile.CheckPools(p, pools))
		return core.ProfilePublished{Profile: p, Source: profile.Format(p)}, errorOrNil(faults)
	case core.PoolPublished:
		p, err := setFields(r.Pool, sets, profile.SetPoolField)
		if err != nil {
			return nil, err
		}
		return core.PoolPublished{Pool: p, Source: profile.FormatPool(p)}, errorOrNil(profile.ValidatePool(p))
	default:
		return current, nil
	}
}

// errorOrNil returns faults as an error, or nil if there are none.
func errorOrNil(faults profile.Faults) error {
	if len(faults) > 0 {
		return faults
	}
	return nil
}

// setFields applies each FIELD=VALUE of sets to v.
func setFields[T any](v T, sets []string, set func(T, string, string) (T, error)) (T, error) {
	for _, s := range sets {
		field, value, ok := strings.Cut(s, "=")
		if !ok {
			return v, &InvalidError{What: "--set " + s, Problem: "must be FIELD=VALUE"}
		}
		changed, err := set(v, field, value)
		if err != nil {
			return v, err
		}
		v = changed
	}
	return v, nil
}

// withNewIDAndOperator returns a copy of a publication with a new random ID and
// the operator set.
func withNewIDAndOperator(r core.Record, operator string) core.Record {
	id := core.PublicationID(rand.Text())
	switch r := r.(type) {
	case core.ProfilePublished:
		r.Publication, r.Operator = id, operator
		return r
	case core.PoolPublished:
		r.Publication, r.Operator = id, operator
		return r
	default:
		return r
	}
}
