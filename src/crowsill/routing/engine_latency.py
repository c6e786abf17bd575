"""A latency model of the engines of one service, fitted to the requests that pass. Pure.

The shortest recent times to a first event show what an idle engine needs: a fixed time, plus a time
for each prompt token that depends on the model. Time that a request takes beyond that is the
current queueing delay at its engine.
"""

from dataclasses import dataclass, field

# Assumed before any request has passed: prefill time of one token, and the time of everything else
# up to the first event, both in ms.
INITIAL_TOKEN_MS = 1.0 / 19.0
INITIAL_BASE_MS = 15.0
# Each further request raises the estimate of the shortest time by this factor, so that an estimate
# that is too small by a factor of three recovers within about 22 requests.
ESTIMATE_GROWTH = 1.05
# Shorter prompts don't allow an estimate of the time for one token.
MIN_PROMPT_TOKENS = 200
# Weight of the newest sample in the moving average of an engine's delay.
DELAY_WEIGHT = 0.3
# Assumed before any stream has ended: time for each requested output token, in ms; and the weight
# of the newest stream in the moving average.
INITIAL_OUTPUT_MS = 10.0
OUTPUT_WEIGHT = 0.1
# Time in which a delay decays to 0 without a new sample: a batch turns over in about a second.
DELAY_LIFETIME_S = 1.5


@dataclass(slots=True)
class LatencyModel:
    """Estimated latencies of the engines of one service.

    Attributes:
        base_ms: Time up to a first event, without the prefill of the prompt.
        token_ms: Prefill time of one prompt token, by model.
        output_ms: Time of a stream after its first event for each output token that the request
            allows, by model.
    """

    base_ms: float = INITIAL_BASE_MS
    token_ms: dict[str, float] = field(default_factory=dict)
    output_ms: dict[str, float] = field(default_factory=dict)

    def prefill_ms(self, model: str, tokens: int) -> float:
        """Return the time that an idle engine takes to prefill this number of tokens."""
        return tokens * self.token_ms.get(model, INITIAL_TOKEN_MS)

    def idle_first_event_ms(self, model: str, uncached_tokens: int) -> float:
        """Return the time to the first event at an idle engine."""
        return self.base_ms + self.prefill_ms(model, uncached_tokens)

    def observe_first_event(self, model: str, uncached_tokens: int, first_ms: float) -> None:
        """Update the estimates with the time to the first event of a request."""
        if uncached_tokens < MIN_PROMPT_TOKENS:
            self.base_ms = min(self.base_ms * ESTIMATE_GROWTH, first_ms)
            return
        sample = max(0.0, first_ms - self.base_ms) / uncached_tokens
        known = self.token_ms.get(model, INITIAL_TOKEN_MS)
        self.token_ms[model] = min(known * ESTIMATE_GROWTH, sample) if sample > 0.0 else known

    def decode_ms(self, model: str, output_tokens: int) -> float:
        """Return the expected duration of a stream after its first event."""
        return output_tokens * self.output_ms.get(model, INITIAL_OUTPUT_MS)

    def observe_stream(self, model: str, output_tokens: int, taken_ms: float) -> None:
        """Update the estimates with the duration of a complete stream after its first event."""
        if output_tokens > 0:
            known_ms = self.output_ms.get(model, INITIAL_OUTPUT_MS)
            newest_ms = taken_ms / output_tokens
            self.output_ms[model] = known_ms + (newest_ms - known_ms) * OUTPUT_WEIGHT


@dataclass(slots=True)
class DecayingDelay:
    """A moving average of delays at one engine that decays to 0 without new samples.

    Attributes:
        delay_ms: The average when the last sample was added.
        updated_at_s: Time when the last sample was added.
    """

    delay_ms: float = 0.0
    updated_at_s: float = float("-inf")

    def current_ms(self, now_s: float) -> float:
        """Return the average, reduced by its age."""
        age_ratio = (now_s - self.updated_at_s) / DELAY_LIFETIME_S
        return self.delay_ms * max(0.0, 1.0 - age_ratio)

    def observe(self, delay_ms: float, now_s: float) -> None:
        """Add a sample; a negative one counts as 0."""
        known_ms = self.current_ms(now_s)
        self.delay_ms = known_ms + (max(0.0, delay_ms) - known_ms) * DELAY_WEIGHT
        self.updated_at_s = now_s
