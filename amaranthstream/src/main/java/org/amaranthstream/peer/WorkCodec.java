package org.amaranthstream.peer;

import static com.google.common.base.Preconditions.checkArgument;

import com.google.common.collect.ImmutableBiMap;
import com.google.protobuf.ByteString;
import com.google.protobuf.UnsafeByteOperations;
import java.util.Optional;
import org.amaranthstream.admission.Priority;
import org.amaranthstream.dispatch.Chunk;
import org.amaranthstream.dispatch.Payload;
import org.amaranthstream.dispatch.Work;
import org.amaranthstream.ids.AffinityKey;
import org.amaranthstream.ids.Incarnation;
import org.amaranthstream.ids.PoolId;
import org.amaranthstream.ids.RequestId;
import org.amaranthstream.ids.WeightVersion;
import org.amaranthstream.ids.WorkClassId;
import org.amaranthstream.peer.wire.Call;
import org.amaranthstream.peer.wire.Forward;
import org.amaranthstream.peer.wire.ForwardChunk;
import org.amaranthstream.peer.wire.Generate;

/**
 * Codec of forwarded work and of the chunks of its response. A deadline is sent as the remaining
 * time and decoded relative to the local clock.
 */
final class WorkCodec {
  private static final ImmutableBiMap<Priority, Integer> PRIORITIES =
      ImmutableBiMap.of(Priority.INTERACTIVE, 0, Priority.TRAINING, 1);

  private WorkCodec() {}

  static Forward encodeWork(long id, Work work, long nowNanos) {
    Forward.Builder builder =
        Forward.newBuilder()
            .setId(id)
            .setRequest(work.id().toString())
            .setWorkClass(work.workClass().value())
            .setPool(work.pool().value())
            .setPriority(PRIORITIES.get(work.priority()))
            .setIdempotent(work.idempotent())
            .setRemainingMs(WireDurations.nanosToMillis(work.deadlineNanos() - nowNanos));
    work.affinity().ifPresent(affinity -> builder.setAffinity(affinity.value()));
    work.minimumVersion().ifPresent(version -> builder.setMinimumVersion(version.value()));
    if (work.payload() instanceof Payload.Generate generate) {
      builder.setGenerate(encodeGenerate(generate));
    } else if (work.payload() instanceof Payload.Call call) {
      builder.setCall(encodeCall(call));
    }
    return builder.build();
  }

  private static Generate encodeGenerate(Payload.Generate generate) {
    return Generate.newBuilder()
        .setPrompt(generate.prompt())
        .setMaxTokens(generate.maxTokens())
        .setSeed(generate.seed())
        .build();
  }

  private static Call encodeCall(Payload.Call call) {
    ByteString body = UnsafeByteOperations.unsafeWrap(call.body());
    return Call.newBuilder()
        .setPath(call.path())
        .setContentType(call.contentType())
        .setBody(body)
        .build();
  }

  /**
   * Decodes forwarded work.
   *
   * @throws IllegalArgumentException if a field is invalid
   */
  static Work decodeWork(Forward forward, long nowNanos) {
    Priority priority = PRIORITIES.inverse().get(forward.getPriority());
    checkArgument(priority != null, "unknown priority %s", forward.getPriority());
    Work.Builder builder =
        Work.builder()
            .id(RequestId.parse(forward.getRequest()))
            .workClass(WorkClassId.of(forward.getWorkClass()))
            .pool(PoolId.of(forward.getPool()))
            .priority(priority)
            .idempotent(forward.getIdempotent())
            .payload(decodePayload(forward))
            .deadlineNanos(nowNanos + WireDurations.millisToNanos(forward.getRemainingMs()))
            .forwarded(true);
    if (forward.hasAffinity()) {
      builder.affinity(AffinityKey.of(forward.getAffinity()));
    }
    if (forward.hasMinimumVersion()) {
      builder.minimumVersion(WeightVersion.of(forward.getMinimumVersion()));
    }
    return builder.build();
  }

  private static Payload decodePayload(Forward forward) {
    return switch (forward.getPayloadCase()) {
      case GENERATE -> {
        Generate generate = forward.getGenerate();
        checkArgument(
            generate.getMaxTokens() > 0,
            "maxTokens is %s, expected a positive number",
            generate.getMaxTokens());
        yield new Payload.Generate(
            generate.getPrompt(), generate.getMaxTokens(), generate.getSeed());
      }
      case CALL -> {
        Call call = forward.getCall();
        yield new Payload.Call(call.getPath(), call.getContentType(), call.getBody().toByteArray());
      }
      case EXCHANGE, PAYLOAD_NOT_SET ->
          throw new IllegalArgumentException("the forwarded work has no payload");
    };
  }

  static ForwardChunk encodeChunk(long id, Chunk chunk) {
    ForwardChunk.Builder builder =
        ForwardChunk.newBuilder()
            .setId(id)
            .setOffset(chunk.offset())
            .setTokens(chunk.tokens())
            .setText(chunk.text());
    chunk.version().ifPresent(version -> builder.setVersion(version.value()));
    chunk.incarnation().ifPresent(incarnation -> builder.setIncarnation(incarnation.value()));
    return builder.build();
  }

  /**
   * Decodes a chunk of a response.
   *
   * @throws IllegalArgumentException if a field is invalid
   */
  static Chunk decodeChunk(ForwardChunk chunk) {
    return new Chunk(
        chunk.getOffset(),
        chunk.getTokens(),
        chunk.getText(),
        chunk.hasVersion() ? Optional.of(WeightVersion.of(chunk.getVersion())) : Optional.empty(),
        chunk.hasIncarnation()
            ? Optional.of(Incarnation.of(chunk.getIncarnation()))
            : Optional.empty());
  }
}
