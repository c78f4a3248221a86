package org.guavathread.router.backend;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Function;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;

/** Reads fields of JSON answers and names the field that is missing or wrong. */
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
            throw new IllegalArgumentException("the body is not JSON", e);
        }
    }

    static String text(JsonNode node, String field) {
        JsonNode value = node.path(field);
        if (!value.isTextual()) {
            throw new IllegalArgumentException("field " + field + " is no text: " + value);
        }
        return value.textValue();
    }

    static int integer(JsonNode node, String field) {
        JsonNode value = node.path(field);
        if (!value.canConvertToInt() || !value.isIntegralNumber()) {
            throw new IllegalArgumentException("field " + field + " is no whole number in the range of int: " + value);
        }
        return value.intValue();
    }

    static long longInteger(JsonNode node, String field) {
        JsonNode value = node.path(field);
        if (!value.canConvertToLong() || !value.isIntegralNumber()) {
            throw new IllegalArgumentException("field " + field + " is no whole number in the range of long: " + value);
        }
        return value.longValue();
    }

    static boolean bool(JsonNode node, String field) {
        JsonNode value = node.path(field);
        if (!value.isBoolean()) {
            throw new IllegalArgumentException("field " + field + " is neither true nor false: " + value);
        }
        return value.booleanValue();
    }

    static <T> List<T> list(JsonNode node, Function<JsonNode, T> reader) {
        if (!node.isArray()) {
            throw new IllegalArgumentException("a list was expected in place of " + node.getNodeType());
        }
        List<T> values = new ArrayList<>();
        node.forEach(each -> values.add(reader.apply(each)));
        return values;
    }
}
