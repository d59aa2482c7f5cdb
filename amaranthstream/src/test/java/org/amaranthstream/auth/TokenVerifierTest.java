package org.amaranthstream.auth;

import static com.google.common.truth.Truth.assertThat;

import com.google.common.collect.ImmutableList;
import org.amaranthstream.ids.CallerId;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class TokenVerifierTest {
  private static final Credential CALLER_CREDENTIAL =
      new Credential(CallerId.of("portal"), Role.CALLER, Secret.of("portal-token-000001"));
  private static final Credential OPERATOR_CREDENTIAL =
      new Credential(CallerId.of("shift"), Role.OPERATOR, Secret.of("operator-token-0001"));

  private final TokenVerifier verifier =
      TokenVerifier.of(ImmutableList.of(CALLER_CREDENTIAL, OPERATOR_CREDENTIAL));

  @Nested
  class Verify {
    @Test
    void findsCredentialOfKnownToken() {
      assertThat(verifier.verify("Bearer operator-token-0001")).hasValue(OPERATOR_CREDENTIAL);
      assertThat(verifier.verify("bearer portal-token-000001")).hasValue(CALLER_CREDENTIAL);
    }

    @Test
    void rejectsMissingAndUnknownTokens() {
      assertThat(verifier.verify(null)).isEmpty();
      assertThat(verifier.verify("")).isEmpty();
      assertThat(verifier.verify("Bearer ")).isEmpty();
      assertThat(verifier.verify("Bearer portal-token-00000")).isEmpty();
      assertThat(verifier.verify("Bearer portal-token-0000011")).isEmpty();
      assertThat(verifier.verify("Basic portal-token-000001")).isEmpty();
    }

    @Test
    void rejectsTokensOverMaximumLength() {
      assertThat(verifier.verify("Bearer " + "x".repeat(TokenVerifier.MAX_TOKEN_CHARS + 1)))
          .isEmpty();
    }
  }

  @Nested
  class SecretText {
    @Test
    void hidesItsContents() {
      assertThat(CALLER_CREDENTIAL.toString()).doesNotContain("portal-token");
    }
  }
}
