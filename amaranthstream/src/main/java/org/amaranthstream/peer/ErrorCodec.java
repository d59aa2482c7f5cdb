package org.amaranthstream.peer;

import com.google.common.collect.ImmutableMap;
import com.google.common.collect.Maps;
import java.util.Arrays;
import org.amaranthstream.peer.wire.Error;
import org.amaranthstream.result.ErrorDetail;
import org.amaranthstream.result.ResultCode;

/** Codec of errors. An unknown code number is decoded as the code {@code ifUnknown}. */
final class ErrorCodec {
  private static final ImmutableMap<Integer, ResultCode> CODES_BY_NUMBER =
      Maps.uniqueIndex(Arrays.asList(ResultCode.values()), ResultCode::number);

  private ErrorCodec() {}

  static Error encode(ErrorDetail error) {
    return Error.newBuilder().setCode(error.code().number()).setMessage(error.message()).build();
  }

  static ErrorDetail decode(Error error, ResultCode ifUnknown) {
    return ErrorDetail.of(
        CODES_BY_NUMBER.getOrDefault(error.getCode(), ifUnknown), error.getMessage());
  }
}
