// Writes valid inputs of the binary formats as seeds. Usage: fuzz_seeds FOLDER
#include "ticket/ticket.h"
#include "wire/frame.h"

#include <filesystem>
#include <fstream>
#include <iostream>

namespace {

using namespace carawaylink;

std::filesystem::path folder;

void write(const std::string& target, const std::string& name, std::string_view bytes)
{
    std::filesystem::create_directories(folder / target);
    std::ofstream(folder / target / name, std::ios::binary) << bytes;
}

std::string_view view(const wire::frame_bytes& bytes)
{
    return { reinterpret_cast<const char*>(bytes.data()), bytes.size() };
}

std::unique_ptr<wire::slot_requestT> slotRequest()
{
    auto request = std::make_unique<wire::slot_requestT>();
    request->request = std::make_unique<wire::request_key>(1, 2);
    request->service = "llm";
    request->team = "t";
    request->prefix_blocks = { 1, 2, 3 };
    return request;
}

} // namespace

int main(int argc, char** argv)
{
    if (argc != 2) {
        std::cerr << "usage: fuzz_seeds FOLDER\n";
        return EXIT_FAILURE;
    }
    folder = argv[1];
    write("frames", "slot_request", view(wire::encodeFrame(*slotRequest())));
    write("frames", "heartbeat", view(wire::encodeFrame(wire::heartbeatT {})));
    wire::pool_syncT sync;
    sync.waiting.push_back(slotRequest());
    auto slot = std::make_unique<wire::outstanding_slotT>();
    slot->request = slotRequest();
    sync.outstanding.push_back(std::move(slot));
    write("frames", "pool_sync", view(wire::encodeFrame(std::move(sync))));
    wire::helloT hello;
    hello.cluster = "c";
    write("frames", "hello", view(wire::encodeFrame(std::move(hello))));
    wire::membership_packetT packet;
    packet.cluster = "c";
    packet.sender = std::make_unique<wire::member_updateT>();
    packet.updates.push_back(std::make_unique<wire::member_updateT>());
    write("datagrams", "ping", view(wire::encodePacket(packet)));
    const key_ring keys({ { "k", "secret-of-the-fuzzed-cluster" } });
    write("ticket", "sealed", keys.seal({ { node_id("1.2.3.4:5"), incarnation(6) }, { node_id("1.2.3.5:5"), incarnation(7) }, 8 }));
    return EXIT_SUCCESS;
}
