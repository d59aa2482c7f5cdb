package org.amaranthstream.idempotency;

import com.google.common.collect.ImmutableMap;
import com.google.protobuf.ByteString;
import com.google.protobuf.InvalidProtocolBufferException;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.amaranthstream.ids.EntryVmId;
import org.amaranthstream.ids.Incarnation;
import org.amaranthstream.once.wire.ClaimPageRecord;
import org.amaranthstream.once.wire.ClaimRecord;
import org.amaranthstream.once.wire.ClaimantRecord;

/**
 * A page of claims, which is one value in the key-value service. Immutable and thread safe.
 *
 * <p>Single claims are never removed. The whole page is deleted after all its keys have expired.
 */
public final class ClaimPage {
  private static final ClaimPage EMPTY = new ClaimPage(ImmutableMap.of());

  private final ImmutableMap<KeyDigest, Claim> claims;

  private ClaimPage(ImmutableMap<KeyDigest, Claim> claims) {
    this.claims = claims;
  }

  /** Returns the page without claims. */
  public static ClaimPage empty() {
    return EMPTY;
  }

  /**
   * Parses a page that {@link #toBytes} serialized.
   *
   * @throws IllegalArgumentException if {@code bytes} is not a valid page
   */
  public static ClaimPage ofBytes(byte[] bytes) {
    try {
      return fromRecord(ClaimPageRecord.parseFrom(bytes));
    } catch (InvalidProtocolBufferException | IndexOutOfBoundsException e) {
      throw new IllegalArgumentException("invalid claim page of " + bytes.length + " bytes", e);
    }
  }

  /** Returns the claim of {@code key}, including a released one. */
  public Optional<Claim> find(KeyDigest key) {
    return Optional.ofNullable(claims.get(key));
  }

  /** Returns the number of claims, including released ones. */
  public int size() {
    return claims.size();
  }

  /** Returns a copy of this page in which {@code claim} replaces any other claim of its key. */
  ClaimPage with(Claim claim) {
    Map<KeyDigest, Claim> changed = new LinkedHashMap<>(claims);
    changed.put(claim.key(), claim);
    return new ClaimPage(ImmutableMap.copyOf(changed));
  }

  /** Serializes the page as a {@link ClaimPageRecord}. Each claimant is written only once. */
  public byte[] toBytes() {
    ClaimPageRecord.Builder page = ClaimPageRecord.newBuilder();
    Map<Claimant, Integer> indexes = new LinkedHashMap<>();
    for (Claim claim : claims.values()) {
      int index = indexes.computeIfAbsent(claim.claimant(), ignored -> indexes.size());
      page.addClaims(
          ClaimRecord.newBuilder()
              .setKey(ByteString.copyFrom(claim.key().toBytes()))
              .setNonce(claim.nonce().value())
              .setClaimant(index)
              .setReleased(claim.released()));
    }
    for (Claimant claimant : indexes.keySet()) {
      page.addClaimants(
          ClaimantRecord.newBuilder()
              .setVm(claimant.vm().value())
              .setIncarnation(claimant.incarnation().value()));
    }
    return page.build().toByteArray();
  }

  private static ClaimPage fromRecord(ClaimPageRecord page) {
    List<Claimant> claimants = new ArrayList<>();
    for (ClaimantRecord each : page.getClaimantsList()) {
      claimants.add(Claimant.of(EntryVmId.of(each.getVm()), Incarnation.of(each.getIncarnation())));
    }
    ImmutableMap.Builder<KeyDigest, Claim> claims = ImmutableMap.builder();
    for (ClaimRecord each : page.getClaimsList()) {
      KeyDigest key = KeyDigest.ofBytes(each.getKey().toByteArray());
      Claimant claimant = claimants.get(each.getClaimant());
      claims.put(key, new Claim(key, ClaimNonce.of(each.getNonce()), claimant, each.getReleased()));
    }
    return new ClaimPage(claims.buildOrThrow());
  }

  @Override
  public boolean equals(Object other) {
    return other instanceof ClaimPage page && claims.equals(page.claims);
  }

  @Override
  public int hashCode() {
    return claims.hashCode();
  }
}
