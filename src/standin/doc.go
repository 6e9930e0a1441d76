// Package standin holds small stand-ins for the platform's key-value service and for backend servers, with faults that can be switched while they run.
package standin
