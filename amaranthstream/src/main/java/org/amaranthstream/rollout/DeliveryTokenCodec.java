package org.amaranthstream.rollout;

import static com.google.common.base.Preconditions.checkArgument;

import com.google.common.collect.ImmutableList;
import com.google.common.io.BaseEncoding;
import com.google.protobuf.ByteString;
import com.google.protobuf.InvalidProtocolBufferException;
import java.security.MessageDigest;
import java.util.Base64;
import java.util.List;
import java.util.Optional;
import org.amaranthstream.ids.EntryVmId;
import org.amaranthstream.ids.StepId;
import org.amaranthstream.ids.TrainerId;
import org.amaranthstream.result.Result;
import org.amaranthstream.result.ResultCode;
import org.amaranthstream.rollout.wire.SignedToken;
import org.amaranthstream.rollout.wire.TokenBody;

/**
 * A codec that encodes delivery tokens as signed text.
 *
 * <p>The first key signs and all keys verify. To rotate keys, add the new key at the end on all
 * entry VMs, then move it to the front, then remove the old key. Immutable and thread safe.
 *
 * <pre>{@code
 * DeliveryTokenCodec codec = DeliveryTokenCodec.of(keys);
 * Result<DeliveryToken> decoded = codec.decode(codec.encode(token));
 * }</pre>
 */
public final class DeliveryTokenCodec {
  /** Greatest number of characters of a token. */
  public static final int MAX_LENGTH_CHARS = 4_096;

  private static final BaseEncoding HEX = BaseEncoding.base16().lowerCase();

  private final ImmutableList<TokenKey> keys;

  private DeliveryTokenCodec(ImmutableList<TokenKey> keys) {
    this.keys = keys;
  }

  /**
   * Returns a codec that signs with the first of {@code keys} and verifies with all of them.
   *
   * @throws IllegalArgumentException if there are no keys or two have the same id
   */
  public static DeliveryTokenCodec of(List<TokenKey> keys) {
    checkArgument(!keys.isEmpty(), "no keys for delivery tokens");
    long ids = keys.stream().map(TokenKey::id).distinct().count();
    checkArgument(ids == keys.size(), "keys for delivery tokens have duplicate ids: %s", keys);
    return new DeliveryTokenCodec(ImmutableList.copyOf(keys));
  }

  /** Returns {@code token} as text, signed with the first key. */
  public String encode(DeliveryToken token) {
    byte[] body = toBody(token).toByteArray();
    TokenKey key = keys.get(0);
    SignedToken signed =
        SignedToken.newBuilder()
            .setKeyId(key.id())
            .setBody(ByteString.copyFrom(body))
            .setSignature(ByteString.copyFrom(key.sign(body)))
            .build();
    return Base64.getUrlEncoder().withoutPadding().encodeToString(signed.toByteArray());
  }

  /** Returns the token of {@code text}, or {@code INVALID_TOKEN} if none of the keys signed it. */
  public Result<DeliveryToken> decode(String text) {
    if (text.length() > MAX_LENGTH_CHARS) {
      return invalid("it has " + text.length() + " characters, the limit is " + MAX_LENGTH_CHARS);
    }
    try {
      return verify(SignedToken.parseFrom(Base64.getUrlDecoder().decode(text)));
    } catch (IllegalArgumentException | InvalidProtocolBufferException e) {
      return invalid("it is malformed");
    }
  }

  private Result<DeliveryToken> verify(SignedToken signed) throws InvalidProtocolBufferException {
    Optional<TokenKey> key = keys.stream().filter(k -> k.id().equals(signed.getKeyId())).findAny();
    if (key.isEmpty()) {
      return invalid("its key id is unknown");
    }
    byte[] body = signed.getBody().toByteArray();
    if (!MessageDigest.isEqual(key.get().sign(body), signed.getSignature().toByteArray())) {
      return invalid("its signature does not match");
    }
    return Result.success(fromBody(TokenBody.parseFrom(body)));
  }

  private static Result<DeliveryToken> invalid(String reason) {
    return Result.failure(ResultCode.INVALID_TOKEN, "delivery token refused: " + reason);
  }

  private static TokenBody toBody(DeliveryToken token) {
    return TokenBody.newBuilder()
        .setTrainer(token.step().trainer().value())
        .setStep(token.step().number().value())
        .setSpecification(ByteString.fromHex(token.specification().value()))
        .setPull(token.pull())
        .setOwner(token.owner().map(EntryVmId::value).orElse(""))
        .setSlots(token.delivered().slots())
        .setDelivered(ByteString.copyFrom(token.delivered().toBytes()))
        .build();
  }

  private static DeliveryToken fromBody(TokenBody body) {
    return new DeliveryToken(
        StepId.of(TrainerId.of(body.getTrainer()), body.getStep()),
        SpecDigest.of(HEX.encode(body.getSpecification().toByteArray())),
        body.getPull(),
        Optional.of(body.getOwner()).filter(owner -> !owner.isEmpty()).map(EntryVmId::of),
        SlotSet.ofBytes(body.getSlots(), body.getDelivered().toByteArray()));
  }
}
