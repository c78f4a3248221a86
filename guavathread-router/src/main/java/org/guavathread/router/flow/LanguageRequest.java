package org.guavathread.router.flow;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

import org.guavathread.core.id.ModelId;
import org.guavathread.core.id.WorkspaceId;
import org.guavathread.core.placement.PrefixHash;
import org.guavathread.core.retry.Fingerprint;
import org.guavathread.core.sheet.Model;
import org.guavathread.core.sheet.Route;
import org.guavathread.core.sheet.Sheet;

import com.dynatrace.hash4j.hashing.Hasher64;
import com.dynatrace.hash4j.hashing.Hashing;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;

/**
 * A parsed request for a language engine.
 *
 * @param model the model
 * @param prompt the messages, joined into one text
 * @param promptTokens estimated length of the prompt in tokens
 * @param maxTokens maximum output in tokens
 * @param stream whether the answer is streamed
 */
record LanguageRequest(ModelId model, String prompt, int promptTokens, int maxTokens, boolean stream) {

    /** Approximation for Spanish and Portuguese text; the engine's own count replaces it once known. */
    private static final int BYTES_PER_TOKEN = 4;

    /** Block size of the engines' prefix caches: 256 tokens. */
    private static final int PREFIX_BLOCK_BYTES = 256 * BYTES_PER_TOKEN;

    /** Covers a prompt of 64,000 tokens; matching longer prefixes gains little. */
    private static final int MAX_PREFIX_HASHES = 250;

    private static final Hasher64 HASHER = Hashing.komihash5_0();
    private static final ObjectMapper JSON = new ObjectMapper();

    /** Thrown for a malformed request; the message is sent to the caller. */
    static final class MalformedException extends Exception {

        private static final long serialVersionUID = 1L;
        private final boolean unknownModel;

        MalformedException(String message, boolean unknownModel) {
            super(message);
            this.unknownModel = unknownModel;
        }

        boolean isUnknownModel() {
            return unknownModel;
        }
    }

    static LanguageRequest parse(byte[] body, Route route, Sheet sheet) throws MalformedException {
        JsonNode root = parseObject(body);
        Model model = model(root, route, sheet);
        String prompt = prompt(root.path("messages"));
        int promptTokens = Math.max(1, prompt.getBytes(StandardCharsets.UTF_8).length / BYTES_PER_TOKEN);
        return new LanguageRequest(
                model.id(),
                prompt,
                promptTokens,
                maxTokens(root, model),
                root.path("stream").asBoolean(false));
    }

    /** Hashes each prefix of the prompt that ends at a block boundary, shortest first. */
    List<PrefixHash> prefixHashes() {
        byte[] bytes = prompt.getBytes(StandardCharsets.UTF_8);
        List<PrefixHash> hashes = new ArrayList<>();
        long previous = HASHER.hashCharsToLong(model.value());
        for (int end = PREFIX_BLOCK_BYTES;
                end <= bytes.length && hashes.size() < MAX_PREFIX_HASHES;
                end += PREFIX_BLOCK_BYTES) {
            previous = HASHER.hashStream()
                    .putLong(previous)
                    .putBytes(bytes, end - PREFIX_BLOCK_BYTES, PREFIX_BLOCK_BYTES)
                    .getAsLong();
            hashes.add(new PrefixHash(previous));
        }
        return hashes;
    }

    /** Is equal for resends of a request. Covers the workspace, so that one workspace cannot cause refusals for another. */
    Fingerprint fingerprint(WorkspaceId workspace) {
        return fingerprint(workspace + " " + model, prompt.getBytes(StandardCharsets.UTF_8));
    }

    static Fingerprint fingerprint(String target, byte[] content) {
        return new Fingerprint(
                HASHER.hashStream().putString(target).putBytes(content).getAsLong());
    }

    private static JsonNode parseObject(byte[] body) throws MalformedException {
        try {
            JsonNode root = JSON.readTree(body);
            if (root != null && root.isObject()) {
                return root;
            }
        } catch (IOException e) {
            throw new MalformedException("The body is not JSON: " + firstLineOf(e), false);
        }
        throw new MalformedException("The body must be a JSON object with model and messages.", false);
    }

    private static String firstLineOf(IOException e) {
        return String.valueOf(e.getMessage()).lines().findFirst().orElse("it cannot be read");
    }

    private static Model model(JsonNode root, Route route, Sheet sheet) throws MalformedException {
        JsonNode name = root.path("model");
        if (name.isMissingNode() && route.models().size() == 1) {
            return sheet.models().get(route.models().get(0));
        }
        if (!name.isTextual() || name.asText().isBlank()) {
            throw new MalformedException("The field model must be one of " + route.models() + ".", false);
        }
        ModelId id = new ModelId(name.asText());
        Model model = sheet.models().get(id);
        if (model == null || !route.models().contains(id)) {
            throw new MalformedException(
                    "Route " + route.id() + " serves no model \"" + id + "\"; it serves " + route.models() + ".", true);
        }
        return model;
    }

    private static String prompt(JsonNode messages) throws MalformedException {
        if (!messages.isArray() || messages.isEmpty()) {
            throw new MalformedException("The field messages must be a list of at least one message.", false);
        }
        StringBuilder prompt = new StringBuilder();
        for (JsonNode message : messages) {
            if (!message.path("role").isTextual() || !message.path("content").isTextual()) {
                throw new MalformedException("Each message must have a role and a content, both texts.", false);
            }
            prompt.append(message.path("role").asText())
                    .append(": ")
                    .append(message.path("content").asText())
                    .append('\n');
        }
        return prompt.toString();
    }

    private static int maxTokens(JsonNode root, Model model) throws MalformedException {
        JsonNode field = root.path("max_tokens");
        if (field.isMissingNode() || field.isNull()) {
            return model.maxOutputTokens();
        }
        if (!field.isIntegralNumber() || field.asLong() < 1 || field.asLong() > model.maxOutputTokens()) {
            throw new MalformedException(
                    "The field max_tokens is " + field + "; allowed: 1 to " + model.maxOutputTokens() + ".", false);
        }
        return field.asInt();
    }
}
