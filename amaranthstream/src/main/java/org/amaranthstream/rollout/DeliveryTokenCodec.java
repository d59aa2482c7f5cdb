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
 * Writes delivery tokens as signed text and reads them back.
 *
 * <p>The first key signs and every key verifies, so keys are rotated by adding the new key last on
 * all entry VMs, then moving it to the front, then removing the old one. Immutable and thread safe.
 *
 * <pre>{@code
 * DeliveryTokenCodec codec = DeliveryTokenCodec.of(keys);
 * Result<DeliveryToken> token = codec.decode(codec.encode(page));
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
   * Returns a codec that signs with the first of {@code keys}.
   *
   * @throws IllegalArgumentException if there is no key or two have the same id
   */
  public static DeliveryTokenCodec of(List<TokenKey> keys) {
    checkArgument(!keys.isEmpty(), "no key for delivery tokens");
    long ids = keys.stream().map(TokenKey::id).distinct().count();
    checkArgument(ids == keys.size(), "two keys for delivery tokens have the same id: %s", keys);
    return new DeliveryTokenCodec(ImmutableList.copyOf(keys));
  }

  /** Returns the text of {@code token}. */
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

  /** Returns the token of {@code text}, or {@code INVALID_TOKEN} if no key of ours signed it. */
  public Result<DeliveryToken> decode(String text) {
    if (text.length() > MAX_LENGTH_CHARS) {
      return invalid("it has " + text.length() + " characters, at most " + MAX_LENGTH_CHARS);
    }
    try {
      return verify(SignedToken.parseFrom(Base64.getUrlDecoder().decode(text)));
    } catch (IllegalArgumentException | InvalidProtocolBufferException e) {
      return invalid("it is not a token");
    }
  }

  private Result<DeliveryToken> verify(SignedToken signed) throws InvalidProtocolBufferException {
    Optional<TokenKey> key = keys.stream().filter(k -> k.id().equals(signed.getKeyId())).findAny();
    if (key.isEmpty()) {
      return invalid("its key is not known");
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
