package org.guavathread.wire;

import java.io.IOException;
import java.lang.reflect.Method;
import java.lang.reflect.Type;
import java.util.List;
import java.util.Optional;

import org.msgpack.core.MessagePacker;

/**
 * Encodes records as MessagePack by reflection: a record is an array of its components, a record with a single
 * component is written as that component alone, an enum is written as its name, an empty optional as nil.
 *
 * <p>Uses reflection rather than method handles: each handle's adaptation defines a class when a process starts.
 */
final class RecordWriter {

    private final MessagePacker packer;
    private final Class<?> shortened;
    private final int fields;

    /**
     * Creates a writer.
     *
     * @param packer receives the bytes
     * @param shortened type of the records of which only the first components are written
     * @param fields number of those components
     */
    RecordWriter(MessagePacker packer, Class<?> shortened, int fields) {
        this.packer = packer;
        this.shortened = shortened;
        this.fields = fields;
    }

    void write(Object value, Type type) throws IOException {
        Class<?> raw = RecordLayout.rawClass(type);
        if (raw == Optional.class) {
            writeOptional((Optional<?>) value, RecordLayout.typeArgument(type));
        } else if (raw == List.class) {
            writeList((List<?>) value, RecordLayout.typeArgument(type));
        } else if (raw.isRecord()) {
            writeRecord(value, raw);
        } else {
            writeScalar(value, raw);
        }
    }

    private void writeOptional(Optional<?> value, Type inner) throws IOException {
        if (value.isEmpty()) {
            packer.packNil();
        } else {
            write(value.get(), inner);
        }
    }

    private void writeList(List<?> values, Type inner) throws IOException {
        packer.packArrayHeader(values.size());
        for (Object value : values) {
            write(value, inner);
        }
    }

    private void writeRecord(Object value, Class<?> raw) throws IOException {
        RecordLayout layout = RecordLayout.of(raw);
        int size = layout.types().size();
        if (raw == shortened && fields < size) {
            if (fields < layout.required()) {
                throw new CodecException(raw.getSimpleName() + " cannot be written with " + fields
                        + " fields; at least " + layout.required() + " are sent.");
            }
            size = fields;
        }
        if (layout.types().size() != 1) {
            packer.packArrayHeader(size);
        }
        for (int i = 0; i < size; i++) {
            write(get(layout.getters().get(i), value), layout.types().get(i));
        }
    }

    private void writeScalar(Object value, Class<?> raw) throws IOException {
        if (raw == long.class || raw == int.class) {
            packer.packLong(((Number) value).longValue());
        } else if (raw == double.class) {
            packer.packDouble((Double) value);
        } else if (raw == boolean.class) {
            packer.packBoolean((Boolean) value);
        } else if (raw == String.class) {
            packer.packString((String) value);
        } else if (raw == byte[].class) {
            byte[] bytes = (byte[]) value;
            packer.packBinaryHeader(bytes.length).writePayload(bytes);
        } else if (raw.isEnum()) {
            packer.packString(((Enum<?>) value).name());
        } else {
            throw new CodecException(
                    raw.getName() + " has no wire encoding; use a record, number, string, list or enum.");
        }
    }

    private static Object get(Method getter, Object value) {
        try {
            return getter.invoke(value);
        } catch (ReflectiveOperationException e) {
            throw new CodecException("A component of " + value.getClass().getSimpleName() + " cannot be read.", e);
        }
    }
}
