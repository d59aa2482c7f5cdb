package org.amaranthstream.peer;

import com.google.common.collect.ImmutableMap;
import com.google.common.collect.Maps;
import java.util.Arrays;
import org.amaranthstream.peer.wire.Error;
import org.amaranthstream.result.ErrorDetail;
import org.amaranthstream.result.ResultCode;

/** Errors on the wire; a code that this version does not know becomes a given one. */
final class WireErrors {
  private static final ImmutableMap<Integer, ResultCode> CODES =
      Maps.uniqueIndex(Arrays.asList(ResultCode.values()), ResultCode::number);

  private WireErrors() {}

  static Error encode(ErrorDetail error) {
    return Error.newBuilder().setCode(error.code().number()).setMessage(error.message()).build();
  }

  static ErrorDetail decode(Error error, ResultCode ifUnknown) {
    return ErrorDetail.of(CODES.getOrDefault(error.getCode(), ifUnknown), error.getMessage());
  }
}
