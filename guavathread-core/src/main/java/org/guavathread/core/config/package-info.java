/** Distribution of the sheet to all hosts, and the decision which version is in force. */
package org.guavathread.core.config;
