//go:build review

package standin3

func route(name, prefix, kind, service string, more map[string]any) map[string]any {
	r := map[string]any{"name": name, "host": "a.example", "prefix": prefix, "kind": kind, "timeoutMs": 4000, "targetLatencyMs": 100, "priority": 0, "service": service, "maxAttempts": 2, "sticky": false, "resumable": false}
	for k, v := range more {
		r[k] = v
	}
	return r
}

func manifest(version int, routes []map[string]any, services ...map[string]any) map[string]any {
	return map[string]any{"version": version, "routes": routes, "services": services,
		"limits": map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 1048576, "headerTimeoutMs": 5000, "idleTimeoutMs": 10000}}
}

func service(name string) map[string]any {
	return map[string]any{"name": name, "healthPath": "/health", "maxConnections": 96, "protocol": "h1", "tls": false}
}
