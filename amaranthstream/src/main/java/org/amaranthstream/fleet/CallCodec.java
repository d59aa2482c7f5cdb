package org.amaranthstream.fleet;

import com.google.common.collect.ImmutableSet;
import com.google.protobuf.ByteString;
import com.google.protobuf.InvalidProtocolBufferException;
import com.google.protobuf.UnsafeByteOperations;
import io.vertx.core.MultiMap;
import io.vertx.core.buffer.Buffer;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import org.amaranthstream.calls.OutboundCall;
import org.amaranthstream.calls.RelayedCall;
import org.amaranthstream.calls.ResponseHead;
import org.amaranthstream.calls.StreamResumption;
import org.amaranthstream.fleet.wire.CallHead;
import org.amaranthstream.fleet.wire.CallHeader;
import org.amaranthstream.fleet.wire.CallPart;
import org.amaranthstream.fleet.wire.CallRequest;
import org.amaranthstream.fleet.wire.CallResumption;
import org.amaranthstream.http.HttpStatus;
import org.amaranthstream.ids.BackendServerId;
import org.amaranthstream.ids.WorkspaceId;

/** Codec of relayed calls and of the parts of their responses. */
final class CallCodec {
  private CallCodec() {}

  static byte[] encodeCall(RelayedCall relayed, long configVersion) {
    OutboundCall call = relayed.call();
    CallRequest.Builder request =
        CallRequest.newBuilder()
            .setId(call.id())
            .setMethod(call.method())
            .setUri(call.uri())
            .setBody(UnsafeByteOperations.unsafeWrap(call.body().getBytes()))
            .setMaxAttempts(relayed.maxAttempts())
            .setOwed(relayed.isOwed())
            .setConfigVersion(configVersion);
    call.headers().forEach((name, value) -> request.addHeader(header(name, value)));
    relayed.permittedServers().forEach(id -> request.addPermittedServer(id.value()));
    call.workspace().ifPresent(workspace -> request.setWorkspace(workspace.value()));
    call.resumption().ifPresent(resumption -> request.setResumption(encodeResumption(resumption)));
    return request.build().toByteArray();
  }

  private static CallHeader header(String name, String value) {
    return CallHeader.newBuilder().setName(name).setValue(value).build();
  }

  private static CallResumption encodeResumption(StreamResumption resumption) {
    CallResumption.Builder encoded = CallResumption.newBuilder();
    resumption.firstRequest().ifPresent(encoded::setFirstRequest);
    return encoded.build();
  }

  static RelayedCall decodeCall(CallRequest request) {
    OutboundCall call =
        new OutboundCall(
            request.getId(),
            request.getMethod(),
            request.getUri(),
            headers(request.getHeaderList()),
            Buffer.buffer(request.getBody().toByteArray()),
            request.hasWorkspace()
                ? Optional.of(WorkspaceId.of(request.getWorkspace()))
                : Optional.empty(),
            request.hasResumption()
                ? Optional.of(decodeResumption(request.getResumption()))
                : Optional.empty());
    ImmutableSet<BackendServerId> permitted =
        request.getPermittedServerList().stream()
            .map(BackendServerId::of)
            .collect(ImmutableSet.toImmutableSet());
    return new RelayedCall(call, request.getMaxAttempts(), request.getOwed(), permitted);
  }

  private static StreamResumption decodeResumption(CallResumption resumption) {
    return new StreamResumption(
        resumption.hasFirstRequest()
            ? Optional.of(resumption.getFirstRequest())
            : Optional.empty());
  }

  private static MultiMap headers(List<CallHeader> headers) {
    MultiMap decoded = MultiMap.caseInsensitiveMultiMap();
    headers.forEach(header -> decoded.add(header.getName(), header.getValue()));
    return decoded;
  }

  static byte[] encodeHead(ResponseHead head) {
    CallHead.Builder encoded = CallHead.newBuilder().setStatus(head.status().code());
    head.headers().forEach((name, value) -> encoded.addHeader(header(name, value)));
    head.length().ifPresent(encoded::setLength);
    head.signature().ifPresent(encoded::setSignature);
    return CallPart.newBuilder().setHead(encoded).build().toByteArray();
  }

  static byte[] encodeData(Buffer data) {
    return CallPart.newBuilder()
        .setData(UnsafeByteOperations.unsafeWrap(data.getBytes()))
        .build()
        .toByteArray();
  }

  /**
   * Decodes the head of a response.
   *
   * @throws IllegalArgumentException if it has no valid status
   */
  static ResponseHead decodeHead(CallHead head) {
    return new ResponseHead(
        HttpStatus.of(head.getStatus()),
        headers(head.getHeaderList()),
        head.hasLength() ? OptionalLong.of(head.getLength()) : OptionalLong.empty(),
        head.hasSignature() ? Optional.of(head.getSignature()) : Optional.empty());
  }

  static Buffer decodeData(ByteString data) {
    return Buffer.buffer(data.toByteArray());
  }

  /**
   * Decodes a part of a response.
   *
   * @throws IllegalArgumentException if it is malformed
   */
  static CallPart decodePart(byte[] part) {
    try {
      return CallPart.parseFrom(part);
    } catch (InvalidProtocolBufferException e) {
      throw new IllegalArgumentException("malformed part of a relayed call: " + e, e);
    }
  }
}
