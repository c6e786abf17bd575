"""Configurations of a small deployment, in the operator's format."""

HOST = "wuny96.example"
LIMITS = {
    "maxHeaderBytes": 16384,
    "maxBodyBytes": 4194304,
    "headerTimeoutMs": 3000,
    "idleTimeoutMs": 15000,
}


def plain_service(name):
    return {"name": name, "healthPath": "/health", "maxConns": 96, "protocol": "h1", "tls": False}


def engine_service(name, models):
    entries = [
        {
            "name": model,
            "weightsMb": 72700.0,
            "loadS": 9.0,
            "adapters": 0,
            "adapterMb": 66.0,
            "warmS": 0.81,
            "diskS": 2.3,
        }
        for model in models
    ]
    engine = {
        "slots": 64,
        "kvCapacityTokens": 132029,
        "kvTokenBytes": 163840,
        "linkMbps": 280000.0,
        "models": entries,
        "weightsMb": 220000.0,
        "adapterSlots": 8,
        "loadsPerS": 1.4,
    }
    return {**plain_service(name), "maxConns": 360, "engine": engine}


def plain_route(name, prefix, service, kind="non_idempotent", attempts=1, timeout_ms=1500):
    return {
        "name": name,
        "host": HOST,
        "pathPrefix": prefix,
        "kind": kind,
        "timeoutMs": timeout_ms,
        "targetLatencyMs": 125,
        "priority": 2,
        "service": service,
        "maxAttempts": attempts,
        "sticky": False,
        "resumable": False,
    }


def stream_route(name, prefix, service, resumable=True):
    return {
        "name": name,
        "host": HOST,
        "pathPrefix": prefix,
        "kind": "stream",
        "timeoutMs": 20000,
        "targetLatencyMs": 8000,
        "priority": 2,
        "service": service,
        "maxAttempts": 2,
        "sticky": True,
        "resumable": resumable,
        "targetGapMs": 400,
    }


def document(version, routes, services):
    return {"version": version, "routes": routes, "services": services, "limits": LIMITS}
