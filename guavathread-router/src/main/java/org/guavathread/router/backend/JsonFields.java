package org.guavathread.router.backend;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Function;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;

/** Reads fields of JSON responses; failures name the field that is missing or invalid. */
final class JsonFields {

    private static final ObjectMapper MAPPER = new ObjectMapper();

    private JsonFields() {}

    static ObjectNode object() {
        return MAPPER.createObjectNode();
    }

    /** Parses JSON; throws IllegalArgumentException if it is malformed. */
    static JsonNode parse(byte[] body) {
        try {
            JsonNode node = MAPPER.readTree(body);
            if (node == null || node.isMissingNode()) {
                throw new IllegalArgumentException("the body is empty");
            }
            return node;
        } catch (IOException e) {
            throw new IllegalArgumentException("the body is not valid JSON", e);
        }
    }

    static String text(JsonNode node, String field) {
        JsonNode value = node.path(field);
        if (!value.isTextual()) {
            throw new IllegalArgumentException("field " + field + " is not a string: " + value);
        }
        return value.textValue();
    }

    static int integer(JsonNode node, String field) {
        JsonNode value = node.path(field);
        if (!value.canConvertToInt() || !value.isIntegralNumber()) {
            throw new IllegalArgumentException("field " + field + " is not a 32-bit integer: " + value);
        }
        return value.intValue();
    }

    static long longInteger(JsonNode node, String field) {
        JsonNode value = node.path(field);
        if (!value.canConvertToLong() || !value.isIntegralNumber()) {
            throw new IllegalArgumentException("field " + field + " is not a 64-bit integer: " + value);
        }
        return value.longValue();
    }

    static boolean bool(JsonNode node, String field) {
        JsonNode value = node.path(field);
        if (!value.isBoolean()) {
            throw new IllegalArgumentException("field " + field + " is not a boolean: " + value);
        }
        return value.booleanValue();
    }

    static <T> List<T> list(JsonNode node, Function<JsonNode, T> reader) {
        if (!node.isArray()) {
            throw new IllegalArgumentException("expected a JSON array but found " + node.getNodeType());
        }
        List<T> values = new ArrayList<>();
        node.forEach(element -> values.add(reader.apply(element)));
        return values;
    }
}
