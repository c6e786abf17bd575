"""How fast the engines of one service read prompts, learnt from the requests that pass. Pure.

The quickest first events seen lately tell what an engine needs when it has nothing else to do: a
fixed time, and a time for each prompt token of a model. What a request takes beyond that is the
delay at its engine just then.
"""

from dataclasses import dataclass, field

# Assumed until requests have passed: an engine's read time for one token, in ms, and the time of
# everything else up to the first event.
FIRST_TOKEN_MS = 1.0 / 19.0
FIRST_BASE_MS = 15.0
# The quickest time seen is believed less with each further request, by this factor: a figure that
# is three times too small is mended after some 22 requests.
GROWTH = 1.05
# Shorter prompts tell too little about the time of one token.
FEWEST_TOKENS = 200
# Weight of the newest request in an engine's delay, and how fast that delay is forgotten while no
# request tells it, in seconds: batches turn over in about a second.
DELAY_WEIGHT = 0.3
# Assumed until streams have ended: time for each token that a caller asks for at most, in ms; and
# the weight of the newest stream in it.
FIRST_OUTPUT_MS = 10.0
OUTPUT_WEIGHT = 0.1
DELAY_MEMORY_S = 1.5


@dataclass(slots=True)
class EnginePace:
    """What is known of the engines of one service.

    Attributes:
        base_ms: Time up to a first event beside the reading of the prompt.
        token_ms: Read time of one prompt token by model.
        output_ms: Time of a stream after its first event for each token asked for at most, by
            model.
    """

    base_ms: float = FIRST_BASE_MS
    token_ms: dict[str, float] = field(default_factory=dict)
    output_ms: dict[str, float] = field(default_factory=dict)

    def read_ms(self, model: str, tokens: int) -> float:
        """Return how long an idle engine reads so many tokens for a model."""
        return tokens * self.token_ms.get(model, FIRST_TOKEN_MS)

    def quickest_ms(self, model: str, unread: int) -> float:
        """Return the time to the first event at an idle engine."""
        return self.base_ms + self.read_ms(model, unread)

    def learn(self, model: str, unread: int, first_ms: float) -> None:
        """Take in a first event."""
        if unread < FEWEST_TOKENS:
            self.base_ms = min(self.base_ms * GROWTH, first_ms)
            return
        sample = max(0.0, first_ms - self.base_ms) / unread
        known = self.token_ms.get(model, FIRST_TOKEN_MS)
        self.token_ms[model] = min(known * GROWTH, sample) if sample > 0.0 else known

    def stream_ms(self, model: str, output_tokens: int) -> float:
        """Return how long a stream lasts from its first event on."""
        return output_tokens * self.output_ms.get(model, FIRST_OUTPUT_MS)

    def learn_stream(self, model: str, output_tokens: int, taken_ms: float) -> None:
        """Take in the time of a whole stream after its first event."""
        if output_tokens > 0:
            known_ms = self.output_ms.get(model, FIRST_OUTPUT_MS)
            newest_ms = taken_ms / output_tokens
            self.output_ms[model] = known_ms + (newest_ms - known_ms) * OUTPUT_WEIGHT


@dataclass(slots=True)
class EngineDelay:
    """What requests at one engine take beyond the quickest time.

    Attributes:
        delay_ms: Moving mean.
        told_s: Clock of the last request that told it.
    """

    delay_ms: float = 0.0
    told_s: float = float("-inf")

    def now_ms(self, now_s: float) -> float:
        """Return the delay, as far as it is still worth anything."""
        age = (now_s - self.told_s) / DELAY_MEMORY_S
        return self.delay_ms * max(0.0, 1.0 - age)

    def learn(self, delay_ms: float, now_s: float) -> None:
        """Take in the delay of one request."""
        known_ms = self.now_ms(now_s)
        self.delay_ms = known_ms + (max(0.0, delay_ms) - known_ms) * DELAY_WEIGHT
        self.told_s = now_s
