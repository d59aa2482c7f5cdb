package org.amaranthstream.admin;

import com.fasterxml.jackson.core.JsonGenerator;
import com.fasterxml.jackson.databind.BeanDescription;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.JsonSerializer;
import com.fasterxml.jackson.databind.SerializationConfig;
import com.fasterxml.jackson.databind.SerializationFeature;
import com.fasterxml.jackson.databind.SerializerProvider;
import com.fasterxml.jackson.databind.json.JsonMapper;
import com.fasterxml.jackson.databind.module.SimpleModule;
import com.fasterxml.jackson.databind.ser.BeanSerializerModifier;
import com.fasterxml.jackson.databind.ser.std.ToStringSerializer;
import java.io.IOException;
import java.time.Duration;
import java.time.Instant;
import java.util.Optional;
import org.amaranthstream.auth.Secret;
import org.amaranthstream.ids.RequestId;

/**
 * The conversion of state objects to JSON.
 *
 * <p>Ids, durations and instants are written as their {@code toString()}, empty optionals as null.
 * Secrets are written as the fixed text of {@link Secret#toString}.
 */
final class StateJson {
  private static final String IDS_PACKAGE = RequestId.class.getPackageName();
  private static final JsonMapper MAPPER =
      JsonMapper.builder()
          .disable(SerializationFeature.FAIL_ON_EMPTY_BEANS)
          .addModule(module())
          .build();

  private StateJson() {}

  /** Returns {@code state}, a JSON node or a record, as JSON. */
  static JsonNode tree(Object state) {
    return MAPPER.valueToTree(state);
  }

  private static SimpleModule module() {
    SimpleModule module = new SimpleModule("state");
    module.addSerializer(Duration.class, ToStringSerializer.instance);
    module.addSerializer(Instant.class, ToStringSerializer.instance);
    module.addSerializer(Secret.class, ToStringSerializer.instance);
    module.addSerializer(Optional.class, new OptionalSerializer());
    module.setSerializerModifier(new IdSerializerModifier());
    return module;
  }

  @SuppressWarnings("rawtypes")
  private static final class OptionalSerializer extends JsonSerializer<Optional> {
    @Override
    public void serialize(Optional value, JsonGenerator generator, SerializerProvider provider)
        throws IOException {
      if (value.isPresent()) {
        provider.defaultSerializeValue(value.get(), generator);
      } else {
        generator.writeNull();
      }
    }
  }

  /** Writes every class of the package of the ids as its {@code toString()}. */
  private static final class IdSerializerModifier extends BeanSerializerModifier {
    private static final long serialVersionUID = 1L;

    @Override
    public JsonSerializer<?> modifySerializer(
        SerializationConfig config, BeanDescription description, JsonSerializer<?> serializer) {
      boolean isId = description.getBeanClass().getPackageName().equals(IDS_PACKAGE);
      return isId ? ToStringSerializer.instance : serializer;
    }
  }
}
