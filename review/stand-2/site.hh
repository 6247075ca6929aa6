// Stand-ins of the platform's store, of upstreams and of clients for the review scripts, and the
// start of the project's own processes. Plain sockets and threads, loopback addresses only.
#pragma once

#include <atomic>
#include <condition_variable>
#include <functional>
#include <map>
#include <mutex>
#include <set>
#include <string>
#include <thread>
#include <vector>

namespace review {

// Seconds of the monotonic clock since the start of the program.
double now();
void sleepUntil(double when);

struct Message
{
    std::string first; // request line or status line
    std::map<std::string, std::string> headers; // names in lower case
    std::string body;
};

// A blocking connection with a time limit for each read.
struct Connection
{
    int handle = -1;
    std::string rest;
    explicit Connection(int h)
        : handle(h)
    { }
    ~Connection();
    bool send(const std::string &bytes) const;
    // Returns false at the end of the connection, at an error or after the time limit.
    bool read(Message &message, double limitS, bool keepBody = true);
};

int freePort();
int connectTo(int port);

// Serves each connection in a thread of its own.
struct Server
{
    int port = 0;
    void start(std::function<void(Connection &)> serve);
};

// A line of record.txt. The time is put in front of it.
void record(const std::string &line);

struct Item
{
    std::string value;
    long revision = 0;
    long lease = 0;
};

struct Event
{
    long revision = 0;
    std::string key;
    std::string value;
    bool deleted = false;
};

// The platform's metadata store as PROTOCOL.md describes it.
struct Store
{
    Server server;
    std::mutex lock;
    std::condition_variable changed;
    std::map<std::string, Item> items;
    std::vector<Event> events;
    std::map<long, std::pair<double, double>> leases; // time to live, end
    long revision = 100;
    long nextLease = 1;
    // Answers to watches under this prefix that carry a change are lost while it is not empty: the
    // connection stays open and returns nothing further.
    std::string loseWatches;
    std::atomic<int> lost = 0;
    double lastLost = 0;
    // When the watch under op/ that waits now has begun.
    std::atomic<double> watchBegan = -1;
    std::atomic<bool> ended = false;

    void start();
    // Returns the time of the acknowledgement.
    double put(const std::string &key, const std::string &value);
    void serve(Connection &connection);

private:
    void expire();
    std::string itemText(const std::string &key, const Item &item) const;
    std::string transact(const std::string &body, int &status);
};

struct Upstream
{
    std::string id;
    std::string service;
    Server server;
    double workS = 0.05;
    // While it leaves, all its answers say so. Once it has ended, it takes and answers nothing.
    std::atomic<bool> leaving = false;
    std::atomic<bool> gone = false;
    int beats = 0;
    // Called when it begins to work on a request: id of the request, name of the service.
    std::function<void(const std::string &, const std::string &)> onRun;
    void start();
    // What it writes to the store with its next heartbeat.
    std::string entry(const std::string &zone);
};

struct Host
{
    std::string id;
    int callers = 0;
    int ready = 0;
    int process = 0;
    bool start(const std::string &folder, const std::string &zone, int storePort);
    void stop();
};

std::string route(const std::string &name, const std::string &prefix, const std::string &kind,
                  const std::string &service, int timeoutMs);
std::string configuration(int version, const std::vector<std::string> &routes,
                          const std::vector<std::string> &services);

// Waits until the host says that it is ready.
bool awaitReady(const Host &host, double limitS);

struct Answer
{
    int status = 0; // 0: no answer
    std::string id;
    std::string stamp;
    std::string body;
};

std::string newId();
Answer call(int port, const std::string &method, const std::string &path, const std::string &id,
            const std::string &body, int deadlineMs);

} // namespace review
