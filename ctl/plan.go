package ctl

import (
	"errors"
	"fmt"

	"github.com/jessevdk/go-flags"

	"banyanrun.example/banyanrun/core"
	"banyanrun.example/banyanrun/wire"
)

// readFleet reads the workers of a topology file. Without a file it returns
// nil, which skips the checks against the fleet.
func (env *environment) readFleet(file flags.Filename) ([]core.ListedWorker, error) {
	if file == "" {
		return nil, nil
	}
	text, err := env.readFile(string(file))
	if err != nil {
		return nil, err
	}
	return ParseTopology(text)
}

// readTextOrFile returns the text of a flag, or the content of the file that is
// given instead.
func (env *environment) readTextOrFile(setting, text string, file flags.Filename) ([]byte, error) {
	if file == "" {
		return []byte(text), nil
	}
	if text != "" {
		return nil, fmt.Errorf("settings %s and %s-file exclude each other", setting, setting)
	}
	return env.readFile(string(file))
}

func (c *validateCommand) plan(env *environment) Step {
	fleet, err := env.readFleet(c.Topology)
	if err != nil {
		return usageStep(err)
	}
	text, err := env.readFile(string(c.Args.File))
	if err != nil {
		return usageStep(err)
	}
	return Validate(text, fleet, c.Strict)
}

func (c *applyCommand) plan(env *environment) Step {
	// With a certificate, the author defaults to its common name.
	if c.Author != "" || !env.files().AnySet() {
		if err := checkAuthor(c.Author); err != nil {
			return usageStep(err)
		}
	}
	if c.Base != nil && *c.Base < 0 {
		return usageStep(&settingError{"--base (BANYANCTL_BASE)", *c.Base, "a revision, or 0 to create"})
	}
	fleet, err := env.readFleet(c.Topology)
	if err != nil {
		return usageStep(err)
	}
	text, err := env.readFile(string(c.Args.File))
	if err != nil {
		return usageStep(err)
	}
	return Apply(text, fleet, ApplyOptions{Author: c.Author, Base: c.Base, JSON: env.JSON})
}

func (c *getCommand) plan(env *environment) Step {
	if err := checkPathElement("TEAM", c.Args.Team); err != nil {
		return usageStep(err)
	}
	return Get(c.Args.Team, env.JSON)
}

func (c *historyCommand) plan(env *environment) Step {
	if err := checkPathElement("TEAM", c.Args.Team); err != nil {
		return usageStep(err)
	}
	return History(c.Args.Team, env.JSON)
}

func (c *diffCommand) plan(env *environment) Step {
	if c.Args.File != "" {
		text, err := env.readFile(string(c.Args.File))
		if err != nil {
			return usageStep(err)
		}
		return DiffFile(text, env.JSON)
	}
	if err := checkPathElement("--team (BANYANCTL_TEAM)", c.Team); err != nil {
		return usageStep(fmt.Errorf("give a FILE, or --team with --from and --to: %w", err))
	}
	if c.From < 1 || c.To < 1 {
		return usageStep(&settingError{"--from and --to", fmt.Sprintf("%d, %d", c.From, c.To), "revisions of the history, from 1"})
	}
	return DiffRevisions(c.Team, c.From, c.To, env.JSON)
}

func (c *submitCommand) plan(env *environment) Step {
	jobs, err := c.jobs(env)
	if err != nil {
		return usageStep(err)
	}
	if c.Batch {
		return SubmitBatch(jobs, env.JSON)
	}
	return Submit(jobs, env.JSON)
}

// jobs returns the jobs of a file, or the single job that the flags describe.
func (c *submitCommand) jobs(env *environment) ([]wire.JobRequest, error) {
	if c.File != "" {
		if c.Kind != "" || c.ID != "" || c.Payload != "" || c.PayloadFile != "" {
			return nil, errors.New("setting --file excludes --kind, --id, --payload and --payload-file")
		}
		text, err := env.readFile(string(c.File))
		if err != nil {
			return nil, err
		}
		jobs, err := ParseJobs(text)
		if err != nil {
			return nil, fmt.Errorf("%s: %w", c.File, err)
		}
		return jobs, nil
	}
	if c.Team == "" || c.Kind == "" {
		return nil, errors.New("give --file, or --team and --kind")
	}
	payload, err := env.readTextOrFile("--payload", c.Payload, c.PayloadFile)
	if err != nil {
		return nil, err
	}
	if c.ID == "" {
		c.ID = core.JobID(env.newID())
	}
	return []wire.JobRequest{{ID: c.ID, Team: c.Team, Kind: c.Kind, Payload: payload}}, nil
}

// check returns an error if an id cannot be an element of a URL path.
func (a *jobsArgs) check() error {
	for _, id := range a.IDs {
		if err := checkPathElement("ID", id); err != nil {
			return err
		}
	}
	return nil
}

func (c *statusCommand) plan(env *environment) Step {
	if err := c.Args.check(); err != nil {
		return usageStep(err)
	}
	return Status(c.Args.IDs, env.JSON)
}

func (c *waitCommand) plan(env *environment) Step {
	if err := errors.Join(c.Args.check(), checkDuration("--limit (BANYANCTL_LIMIT)", c.Limit, minWait, maxWait)); err != nil {
		return usageStep(err)
	}
	return Wait(c.Args.IDs, c.Limit, env.JSON)
}

func (c *cancelCommand) plan(env *environment) Step {
	if err := c.Args.check(); err != nil {
		return usageStep(err)
	}
	return Cancel(c.Args.IDs, env.JSON)
}

func (c *explainCommand) plan(env *environment) Step {
	if err := checkPathElement("ID", c.Args.ID); err != nil {
		return usageStep(err)
	}
	return Explain(c.Args.ID, env.JSON)
}

func (c *callCommand) plan(env *environment) Step {
	if err := errors.Join(checkPathElement("TEAM", c.Args.Team), checkPathElement("KIND", c.Args.Kind)); err != nil {
		return usageStep(err)
	}
	body, err := env.readTextOrFile("--data", c.Data, c.DataFile)
	if err != nil {
		return usageStep(err)
	}
	if c.ID == "" {
		c.ID = env.newID()
	}
	return Call(c.Args.Team, c.Args.Kind, c.ID, body, env.JSON)
}

func (c *hostsCommand) plan(env *environment) Step { return Hosts(env.JSON) }

func (c *workersCommand) plan(env *environment) Step {
	if c.State == nil {
		return Workers(nil, env.JSON)
	}
	return Workers(&c.State.WorkerState, env.JSON)
}

func (c *teamsCommand) plan(env *environment) Step { return Teams(c.Team, env.JSON) }
