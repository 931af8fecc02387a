/**
 * HTTP/1.1 as a client: one outgoing connection with its Netty handlers, and the names of the
 * protocol's header fields. Everything runs on the event loop of the connection.
 */
package sagefall.http;
