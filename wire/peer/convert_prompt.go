package peer

import (
	"time"

	"daisyshed.dev/core"
)

func fromServicePart(p core.ServicePart) *ServicePart {
	return &ServicePart{Service: string(p.Service), Part: string(p.Part)}
}

func toServicePart(p *ServicePart) core.ServicePart {
	return core.ServicePart{Service: core.ServiceID(p.GetService()), Part: core.PromptPart(p.GetPart())}
}

func fromPromptsReported(b core.PromptsReported) *PromptsReported {
	return &PromptsReported{
		Crashes: convertAll(b.Crashes, func(c core.PromptCrash) *PromptCrash {
			return &PromptCrash{
				Service: string(c.Service), Engine: string(c.Crash.Engine), Born: c.Crash.Born,
				Parts: convertAll(c.Parts, func(p core.PromptPart) string { return string(p) }),
			}
		}),
		Sound: convertAll(b.Sound, fromServicePart),
		Blocked: convertAll(b.Blocked, func(p core.PartBlock) *PartBlock {
			return &PartBlock{Part: fromServicePart(p.ServicePart), LeftNanos: int64(p.Left)}
		}),
	}
}

func toPromptsReported(b *PromptsReported) core.PromptsReported {
	return core.PromptsReported{
		Crashes: convertAll(b.GetCrashes(), func(c *PromptCrash) core.PromptCrash {
			return core.PromptCrash{
				Service: core.ServiceID(c.GetService()),
				Crash:   core.EngineCrash{Engine: core.EngineID(c.GetEngine()), Born: c.GetBorn()},
				Parts:   convertAll(c.GetParts(), func(p string) core.PromptPart { return core.PromptPart(p) }),
			}
		}),
		Sound: convertAll(b.GetSound(), toServicePart),
		Blocked: convertAll(b.GetBlocked(), func(p *PartBlock) core.PartBlock {
			return core.PartBlock{ServicePart: toServicePart(p.GetPart()), Left: time.Duration(p.GetLeftNanos())}
		}),
	}
}
