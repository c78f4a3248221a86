package org.guavathread.core.sheet;

import org.guavathread.core.id.ModelId;

/**
 * A model of the sheet.
 *
 * @param id its name
 * @param version the version that engines must serve
 * @param weights name of the weights in the weight store
 * @param maxOutputTokens upper limit and default of the output tokens of a request
 */
public record Model(ModelId id, String version, String weights, int maxOutputTokens) {}
