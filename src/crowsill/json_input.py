"""Decodes JSON that another program sent, and bounds the numbers in it.

Whole numbers in JSON have no bound, but those of messages between processes have 64 bits, and many
are computed with as floating-point numbers. Sums and products of quantities must stay finite.
"""

from typing import Annotated, TypeVar

import msgspec
from returns.result import Failure, Result, Success

# Largest whole number up to which all are floating-point numbers, too.
MAX_WHOLE_NUMBER = 2**53
MAX_VERSION = 2**63 - 1
MAX_QUANTITY = 1e15

WholeNumber = Annotated[int, msgspec.Meta(ge=-MAX_WHOLE_NUMBER, le=MAX_WHOLE_NUMBER)]
Quantity = Annotated[float, msgspec.Meta(ge=-MAX_QUANTITY, le=MAX_QUANTITY)]
Version = Annotated[int, msgspec.Meta(ge=-MAX_VERSION, le=MAX_VERSION)]


Decoded = TypeVar("Decoded")


def decode_json(content: bytes, decoder: "msgspec.json.Decoder[Decoded]") -> Result[Decoded, str]:
    """Decode JSON; the failure tells what is wrong, and where.

    >>> decode_json(b"[1]", msgspec.json.Decoder(list[int])).unwrap()
    [1]
    >>> decode_json(b"[" * 100000, msgspec.json.Decoder(list[int])).failure()
    'Expected `int`, got `array` - at `$[0]`'
    """
    try:
        return Success(decoder.decode(content))
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        return Failure(str(error))
    except RecursionError:
        return Failure("it is nested too deeply")
