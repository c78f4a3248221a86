package org.guavathread.core.sheet;

import org.guavathread.core.id.ModelId;

/**
 * A model of the sheet.
 *
 * @param id its name
 * @param version the version that engines are to serve
 * @param weights name of the weights in the weight store
 * @param maxOutputTokens largest output that a request may ask for, and the default, in tokens
 */
public record Model(ModelId id, String version, String weights, int maxOutputTokens) {}
