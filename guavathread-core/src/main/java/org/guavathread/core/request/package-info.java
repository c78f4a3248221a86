/** What a caller asked for and how a refusal is worded, shared by all decisions. */
package org.guavathread.core.request;
