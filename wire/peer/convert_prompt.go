package peer

import (
	"time"

	"daisyshed.dev/core"
)

func fromCrashSuspect(s core.CrashSuspect) *ServicePart {
	return &ServicePart{Service: string(s.Service), Part: string(s.Part), Request: string(s.Request)}
}

func toCrashSuspect(s *ServicePart) core.CrashSuspect {
	return core.CrashSuspect{
		Service: core.ServiceID(s.GetService()), Part: core.PromptPart(s.GetPart()), Request: core.RequestKey(s.GetRequest()),
	}
}

func fromSuspectsReported(b core.SuspectsReported) *PromptsReported {
	return &PromptsReported{
		Crashes: convertAll(b.Crashes, func(c core.CrashReport) *PromptCrash {
			return &PromptCrash{
				Service: string(c.Service), Engine: string(c.Crash.Engine), Born: c.Crash.Born,
				Parts:   convertAll(c.Parts, func(p core.PromptPart) string { return string(p) }),
				Request: string(c.Request), RanNanos: int64(c.RanFor),
			}
		}),
		Sound: convertAll(b.Sound, fromCrashSuspect),
		Blocked: convertAll(b.Blocked, func(p core.SuspectBlock) *PartBlock {
			return &PartBlock{Part: fromCrashSuspect(p.CrashSuspect), LeftNanos: int64(p.Left), Trials: uint32(p.Trials)}
		}),
		Answered: convertAll(b.Answered, func(c core.EngineCrash) *Incarnation {
			return &Incarnation{Engine: string(c.Engine), Born: c.Born}
		}),
	}
}

func toSuspectsReported(b *PromptsReported) core.SuspectsReported {
	return core.SuspectsReported{
		Crashes: convertAll(b.GetCrashes(), func(c *PromptCrash) core.CrashReport {
			return core.CrashReport{
				Service: core.ServiceID(c.GetService()),
				Crash:   core.EngineCrash{Engine: core.EngineID(c.GetEngine()), Born: c.GetBorn()},
				Parts:   convertAll(c.GetParts(), func(p string) core.PromptPart { return core.PromptPart(p) }),
				Request: core.RequestKey(c.GetRequest()), RanFor: time.Duration(c.GetRanNanos()),
			}
		}),
		Sound: convertAll(b.GetSound(), toCrashSuspect),
		Blocked: convertAll(b.GetBlocked(), func(p *PartBlock) core.SuspectBlock {
			return core.SuspectBlock{
				CrashSuspect: toCrashSuspect(p.GetPart()), Left: time.Duration(p.GetLeftNanos()), Trials: int(p.GetTrials()),
			}
		}),
		Answered: convertAll(b.GetAnswered(), func(c *Incarnation) core.EngineCrash {
			return core.EngineCrash{Engine: core.EngineID(c.GetEngine()), Born: c.GetBorn()}
		}),
	}
}
