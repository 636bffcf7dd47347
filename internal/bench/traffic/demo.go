package traffic

// DemoLimits returns the replica limits of examples/demo.
func DemoLimits() Limits {
	return Limits{"assistant": 1, "catalogue": 2, "exhibitor-replies": 1, "translation": 1}
}

// DemoMixes returns requests to each model, adapter and service of examples/demo.
func DemoMixes() []Mix {
	return []Mix{
		{Kind: Interactive, Target: "assistant", Weight: 4, Stream: true},
		{Kind: Interactive, Target: "assistant", Weight: 2},
		{Kind: Interactive, Target: "assistant-aarhus", BaseModel: "assistant", Weight: 1, Stream: true},
		{Kind: Batch, Target: "catalogue", Weight: 2},
		{Kind: NonIdempotent, Target: "exhibitor-replies", Weight: 2},
		{Kind: Service, Target: "booking", Weight: 3},
	}
}
