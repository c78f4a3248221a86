/** How a version of the sheet reaches every host, and which version is in force. */
package org.guavathread.core.config;
